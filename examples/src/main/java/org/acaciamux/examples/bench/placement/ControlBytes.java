package org.acaciamux.examples.bench.placement;

import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.protocol.wire.Frame;
import org.acaciamux.internal.protocol.wire.MemberLoad;
import org.acaciamux.internal.protocol.wire.PoolView;
import org.acaciamux.internal.protocol.wire.Refused;
import org.acaciamux.internal.protocol.wire.RequestId;
import org.acaciamux.internal.protocol.wire.WireOutcome;

/**
 * Sizes of control messages, taken from the encoded frames. Stateless.
 */
final class ControlBytes {

	/** Bytes of the length prefix of a frame. */
	static final int PREFIX = 4;

	private static final long INCARNATION = 0x1234_5678_9ABC_DEF0L;

	private static final int HEARTBEAT = 1_000_000;

	private static final int AGE_MS = 1_200;

	private ControlBytes() {
	}

	static int poolView(Member[] members) {
		PoolView.Builder view = PoolView.newBuilder().setPool("assistant");
		for (Member member : members) {
			view.addMembers(MemberLoad.newBuilder()
				.setId(member.id())
				.setIncarnation(INCARNATION)
				.setHeartbeat(HEARTBEAT)
				.setLoad(Math.max(1, member.load()))
				.setAgeMs(AGE_MS));
		}
		return PREFIX + Frame.newBuilder().setPoolView(view).build().getSerializedSize();
	}

	static int redirect() {
		Refused refused = Refused.newBuilder()
			.setId(RequestId.newBuilder().setIncarnation(INCARNATION).setSequence(HEARTBEAT))
			.setFailureCode("overloaded")
			.setOutcome(WireOutcome.OUTCOME_NOT_RUN)
			.setRedirect(true)
			.setLoad(10)
			.setLimit(10)
			.build();
		return PREFIX + Frame.newBuilder().setRefused(refused).build().getSerializedSize();
	}

}
