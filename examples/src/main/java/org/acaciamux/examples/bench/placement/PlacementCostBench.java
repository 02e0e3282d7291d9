package org.acaciamux.examples.bench.placement;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.IntToLongFunction;

import com.sun.management.ThreadMXBean;

import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.coordination.membership.MemberState;
import org.acaciamux.internal.coordination.routing.RecentChats;
import org.acaciamux.internal.coordination.routing.RendezvousChooser;
import org.acaciamux.internal.state.StableHash;
import org.acaciamux.internal.state.record.PoolSpec;

/**
 * Measures the processor time and the allocation of one routing decision for several pool
 * sizes. Run it with <pre>
 * mvn -o -q -B -DskipTests package
 * java -Xmx1g -cp examples/target/classes:$(cat examples/target/classpath.txt) \
 *     org.acaciamux.examples.bench.placement.PlacementCostBench
 * </pre> Rows: the plain hash, which finds the highest weight over prepared server hashes
 * (plain hash); a plan over an unchanged list of members (plan); a plan over a list that
 * is new because loads changed (plan, new loads); a plan after a member was replaced
 * (plan, replaced); recording the server that ran a request (note). The values are
 * medians over rounds that alternate between the rows, in processor time of the measuring
 * thread.
 */
public final class PlacementCostBench {

	private static final int[] SIZES = { 26, 100, 500, 2_200 };

	private static final int CHATS = 4_096;

	private static final int ROUNDS = 31;

	private static final int WARM_UP_ROUNDS = 10;

	private static final int MEMBER_VISITS = 4_000_000;

	private static final PoolSpec POOL = PoolSpec.modelDefaults("assistant");

	private final ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();

	private final String[] chats = new String[CHATS];

	/** Sum of all results, so that the compiler cannot remove the measured calls. */
	private long checksum;

	private PlacementCostBench() {
		for (int i = 0; i < CHATS; i++) {
			this.chats[i] = "chat-" + Long.toHexString(StableHash.of("c" + i));
		}
	}

	/**
	 * Run the benchmark.
	 * @param arguments none
	 */
	public static void main(String[] arguments) {
		PlacementCostBench bench = new PlacementCostBench();
		System.out.printf("%-8s %-16s %10s %10s %12s%n", "members", "row", "ns", "x hash", "bytes");
		for (int size : SIZES) {
			bench.measure(size);
		}
		System.out.println("checksum " + bench.checksum);
	}

	private void measure(int size) {
		List<Member> members = members(size, 8);
		List<Member> otherLoads = members(size, 9);
		List<Member> replaced = replaceOne(members);
		RendezvousChooser chooser = new RendezvousChooser(new RecentChats(RecentChats.DEFAULT_CAPACITY));
		long[] hashes = members.stream().mapToLong((member) -> StableHash.of(member.id())).toArray();
		Optional<String> token = Optional.of(members.get(size / 2).id());
		List<Row> rows = new ArrayList<>();
		rows.add(new Row("plain hash", (i) -> heaviestServer(hashes, this.chats[i])));
		rows.add(new Row("plan", (i) -> chooser.plan(POOL, members, this.chats[i], token).size()));
		rows.add(new Row("plan, new loads",
				(i) -> chooser.plan(POOL, ((i & 1) == 0) ? members : otherLoads, this.chats[i], token).size()));
		rows.add(new Row("plan, replaced",
				(i) -> chooser.plan(POOL, ((i & 1) == 0) ? members : replaced, this.chats[i], token).size()));
		rows.add(new Row("note", (i) -> {
			chooser.served("assistant", this.chats[i], token.get());
			return 1;
		}));
		int calls = Math.max(500, MEMBER_VISITS / size / 8);
		for (int round = 0; round < WARM_UP_ROUNDS + ROUNDS; round++) {
			for (Row row : rows) {
				measure(row, calls, round - WARM_UP_ROUNDS);
			}
		}
		print(size, rows);
	}

	private void measure(Row row, int calls, int round) {
		long id = Thread.currentThread().getId();
		long bytes = this.threads.getThreadAllocatedBytes(id);
		long start = this.threads.getCurrentThreadCpuTime();
		for (int i = 0; i < calls; i++) {
			this.checksum += row.action.applyAsLong(i & (CHATS - 1));
		}
		long nanos = this.threads.getCurrentThreadCpuTime() - start;
		long allocated = this.threads.getThreadAllocatedBytes(id) - bytes;
		if (round >= 0) {
			row.nanos[round] = nanos / (double) calls;
			row.bytes[round] = allocated / (double) calls;
		}
	}

	private static void print(int size, List<Row> rows) {
		double hash = median(rows.get(0).nanos);
		for (Row row : rows) {
			System.out.printf("%-8d %-16s %10.0f %10.2f %12.0f%n", size, row.name, median(row.nanos),
					median(row.nanos) / hash, median(row.bytes));
		}
	}

	private static double median(double[] values) {
		double[] sorted = values.clone();
		Arrays.sort(sorted);
		return sorted[sorted.length / 2];
	}

	private static long heaviestServer(long[] hashes, String chat) {
		long key = StableHash.of("assistant", chat);
		int best = 0;
		long weight = Long.MIN_VALUE;
		for (int i = 0; i < hashes.length; i++) {
			long candidate = StableHash.weight(key, hashes[i]);
			if (candidate > weight) {
				weight = candidate;
				best = i;
			}
		}
		return best;
	}

	private static List<Member> members(int size, int load) {
		List<Member> members = new ArrayList<>(size);
		for (int i = 0; i < size; i++) {
			members.add(member("agent-" + i, i, load));
		}
		return List.copyOf(members);
	}

	private static List<Member> replaceOne(List<Member> members) {
		List<Member> replaced = new ArrayList<>(members);
		replaced.set(members.size() / 3, member("agent-new", members.size() / 3, 0));
		return List.copyOf(replaced);
	}

	private static Member member(String id, int position, int load) {
		return new Member(id, Member.AGENT, "127.0.0.1", 7000, "tw-north", "domain-" + position % 4, "assistant",
				MemberState.LIVE, load);
	}

	/**
	 * A measured action and its results for each round, per call.
	 */
	private static final class Row {

		private final String name;

		private final IntToLongFunction action;

		private final double[] nanos = new double[ROUNDS];

		private final double[] bytes = new double[ROUNDS];

		Row(String name, IntToLongFunction action) {
			this.name = name;
			this.action = action;
		}

	}

}
