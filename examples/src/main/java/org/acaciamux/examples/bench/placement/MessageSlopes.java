package org.acaciamux.examples.bench.placement;

import org.acaciamux.internal.protocol.wire.Frame;
import org.acaciamux.internal.protocol.wire.LoadExchange;
import org.acaciamux.internal.protocol.wire.MemberLoad;
import org.acaciamux.internal.protocol.wire.PoolView;

/**
 * Prints the encoded bytes of control messages for four pool sizes, and the bytes per
 * second at the intervals that the design page gives. Run it with <pre>
 * mvn -o -q -B -DskipTests package
 * java -cp examples/target/classes:$(cat examples/target/classpath.txt) \
 *     org.acaciamux.examples.bench.placement.MessageSlopes
 * </pre>
 */
public final class MessageSlopes {

	private static final int[] MEMBERS = { 26, 100, 500, 2_200 };

	private static final int MEMBERS_PER_EXCHANGE = 64;

	private static final int PEERS = 3;

	private static final double EXCHANGES_PER_SECOND = 2;

	private static final double VIEW_INTERVAL_SECONDS = 2;

	private static final double LARGE_VIEW_INTERVAL_SECONDS = 10;

	private MessageSlopes() {
	}

	/**
	 * Run the benchmark.
	 * @param arguments none
	 */
	public static void main(String[] arguments) {
		System.out.printf("%8s %16s %16s %12s %16s %16s%n", "members", "exchange bytes", "sent bytes/s", "view bytes",
				"bytes/s at 2 s", "bytes/s at 10 s");
		for (int size : MEMBERS) {
			LoadExchange.Builder exchange = LoadExchange.newBuilder().setPool("assistant");
			PoolView.Builder view = PoolView.newBuilder().setPool("assistant");
			for (int i = 0; i < size; i++) {
				if (i < MEMBERS_PER_EXCHANGE) {
					exchange.addMembers(member(i));
				}
				view.addMembers(member(i));
			}
			int exchanged = size(Frame.newBuilder().setLoadExchange(exchange).build());
			int viewed = size(Frame.newBuilder().setPoolView(view).build());
			System.out.printf("%8d %16d %16.0f %12d %16.0f %16.0f%n", size, exchanged,
					exchanged * PEERS * EXCHANGES_PER_SECOND, viewed, viewed / VIEW_INTERVAL_SECONDS,
					viewed / LARGE_VIEW_INTERVAL_SECONDS);
		}
	}

	private static int size(Frame frame) {
		return ControlMessageSizes.LENGTH_PREFIX_BYTES + frame.getSerializedSize();
	}

	private static MemberLoad member(int i) {
		return MemberLoad.newBuilder()
			.setId("agent-" + i)
			.setIncarnation(0x1234_5678_9ABC_DEF0L + i)
			.setHeartbeat(1_000_000 + i)
			.setLoad(40)
			.setAgeMs(1_200)
			.build();
	}

}
