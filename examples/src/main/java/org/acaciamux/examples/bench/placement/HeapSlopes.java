package org.acaciamux.examples.bench.placement;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.management.ThreadMXBean;
import org.agrona.concurrent.SystemNanoClock;

import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.coordination.membership.MemberTable;
import org.acaciamux.internal.coordination.membership.MembershipSettings;
import org.acaciamux.internal.coordination.platform.VmDirectory.VmEntry;
import org.acaciamux.internal.coordination.platform.VmDirectory.VmList;
import org.acaciamux.internal.coordination.routing.RecentChats;
import org.acaciamux.internal.coordination.routing.RendezvousChooser;
import org.acaciamux.internal.state.StableHash;
import org.acaciamux.internal.state.record.HeldRecord;

/**
 * Measures how the heap that state needs grows over four sizes, and the cost of one
 * snapshot of a pool. Run it with <pre>
 * mvn -o -q -B -DskipTests package
 * java -Xmx1g -cp examples/target/classes:$(cat examples/target/classpath.txt) \
 *     org.acaciamux.examples.bench.placement.HeapSlopes
 * </pre> The heap of a state is the difference between the used heap with and without it,
 * both after garbage collections.
 */
public final class HeapSlopes {

	private static final int[] CHATS = { 8_192, 16_384, 32_768, 65_536 };

	private static final int[] MEMBERS = { 26, 100, 500, 2_200 };

	private static final int[] RECORDS = { 100, 400, 1_600, 6_400 };

	private static final int COPIES = 20;

	private static final int COLLECTIONS = 4;

	private static final int CALLS = 2_000;

	private HeapSlopes() {
	}

	/**
	 * Run the benchmark.
	 * @param arguments none
	 * @throws InterruptedException if interrupted
	 */
	public static void main(String[] arguments) throws InterruptedException {
		System.out.printf("%-16s %8s %14s %14s%n", "state", "size", "bytes", "bytes/entry");
		for (int size : CHATS) {
			report("recent chats", size, (copy) -> recentChats(size));
		}
		for (int size : MEMBERS) {
			report("member table", size, (copy) -> memberTable(size));
		}
		for (int size : MEMBERS) {
			report("chooser index", size, (copy) -> chooserIndex(size));
		}
		for (int size : RECORDS) {
			report("records", size, (copy) -> records(size));
		}
		System.out.printf("%n%-16s %8s %14s %14s%n", "call", "size", "ns", "bytes");
		for (int size : MEMBERS) {
			measureSnapshot(size);
		}
	}

	private static void report(String name, int size, IntFunction<Object> factory) throws InterruptedException {
		factory.apply(0);
		List<Object> copies = new ArrayList<>();
		long before = usedHeap();
		for (int copy = 0; copy < COPIES; copy++) {
			copies.add(factory.apply(copy));
		}
		long bytes = (usedHeap() - before) / copies.size();
		System.out.printf("%-16s %8d %14d %14.1f%n", name, size, bytes, bytes / (double) size);
	}

	private static long usedHeap() throws InterruptedException {
		for (int i = 0; i < COLLECTIONS; i++) {
			System.gc();
			Thread.sleep(20);
		}
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

	private static Object recentChats(int size) {
		RecentChats recent = new RecentChats(RecentChats.DEFAULT_CAPACITY);
		for (int i = 0; i < size; i++) {
			recent.note(StableHash.weight(i, 1), i);
		}
		return recent;
	}

	private static MemberTable memberTable(int size) {
		MemberTable table = new MemberTable("router-1", MembershipSettings.defaults(), SystemNanoClock.INSTANCE,
				new MetricRegistry());
		List<VmEntry> vms = new ArrayList<>(size);
		for (int i = 0; i < size; i++) {
			vms.add(new VmEntry("agent-" + i, Member.AGENT, "10.1." + i / 250 + "." + i % 250, 7000, 0, "tw-north",
					"domain-" + i % 4, "assistant", false));
		}
		table.vmList("tw-north", new VmList(1, vms));
		return table;
	}

	private static Object chooserIndex(int size) {
		RendezvousChooser chooser = new RendezvousChooser(new RecentChats(1));
		return List.of(chooser, chooser.rank("assistant", memberTable(size).agents("assistant"), "chat", 1));
	}

	private static Object records(int size) {
		List<HeldRecord> records = new ArrayList<>(size);
		for (int i = 0; i < size; i++) {
			ObjectNode value = JsonNodeFactory.instance.objectNode();
			value.put("apiVersion", "acaciamux/v2").put("kind", "Organisation").put("name", "organisation-" + i);
			value.putObject("spec").put("weight", 1 + i % 7).put("maxQueueShare", 0.25);
			records.add(HeldRecord.of("Organisation", "organisation-" + i, i + 1L, value));
		}
		return records;
	}

	private static void measureSnapshot(int size) {
		MemberTable table = memberTable(size);
		ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
		long id = Thread.currentThread().getId();
		long nanos = 0;
		long bytes = 0;
		long sum = 0;
		for (int round = 0; round < 10; round++) {
			long allocated = threads.getThreadAllocatedBytes(id);
			long start = threads.getCurrentThreadCpuTime();
			for (int i = 0; i < CALLS; i++) {
				sum += table.agents("assistant").size();
			}
			nanos = threads.getCurrentThreadCpuTime() - start;
			bytes = threads.getThreadAllocatedBytes(id) - allocated;
		}
		System.out.printf("%-16s %8d %14d %14d%n", (sum > 0) ? "agents(pool)" : "none", size, nanos / CALLS,
				bytes / CALLS);
	}

}
