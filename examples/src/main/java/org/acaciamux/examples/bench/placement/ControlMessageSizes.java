package org.acaciamux.examples.bench.placement;

import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.protocol.wire.Frame;
import org.acaciamux.internal.protocol.wire.MemberLoad;
import org.acaciamux.internal.protocol.wire.PoolView;
import org.acaciamux.internal.protocol.wire.Refused;
import org.acaciamux.internal.protocol.wire.RequestId;
import org.acaciamux.internal.protocol.wire.WireOutcome;

/**
 * Sizes in bytes of encoded control messages. Stateless.
 */
final class ControlMessageSizes {

	/** Bytes of the length prefix of a frame. */
	static final int LENGTH_PREFIX_BYTES = 4;

	private static final long INCARNATION = 0x1234_5678_9ABC_DEF0L;

	/** Heartbeat and sequence number. Their encoded size grows with the value. */
	private static final int COUNTER = 1_000_000;

	private static final int AGE_MS = 1_200;

	private ControlMessageSizes() {
	}

	static int poolView(Member[] members) {
		PoolView.Builder view = PoolView.newBuilder().setPool("assistant");
		for (Member member : members) {
			view.addMembers(MemberLoad.newBuilder()
				.setId(member.id())
				.setIncarnation(INCARNATION)
				.setHeartbeat(COUNTER)
				.setLoad(Math.max(1, member.load()))
				.setAgeMs(AGE_MS));
		}
		return LENGTH_PREFIX_BYTES + Frame.newBuilder().setPoolView(view).build().getSerializedSize();
	}

	static int redirect() {
		Refused refused = Refused.newBuilder()
			.setId(RequestId.newBuilder().setIncarnation(INCARNATION).setSequence(COUNTER))
			.setFailureCode("overloaded")
			.setOutcome(WireOutcome.OUTCOME_NOT_RUN)
			.setRedirect(true)
			.setLoad(10)
			.setLimit(10)
			.build();
		return LENGTH_PREFIX_BYTES + Frame.newBuilder().setRefused(refused).build().getSerializedSize();
	}

}
