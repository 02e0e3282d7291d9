package org.acaciamux.internal.coordination.routing;

import com.google.protobuf.ByteString;

import org.acaciamux.FailureCode;
import org.acaciamux.internal.protocol.wire.Chunk;
import org.acaciamux.internal.protocol.wire.End;
import org.acaciamux.internal.protocol.wire.Frame;
import org.acaciamux.internal.protocol.wire.Refused;
import org.acaciamux.internal.protocol.wire.RequestId;
import org.acaciamux.internal.protocol.wire.RequestState;
import org.acaciamux.internal.protocol.wire.Resolution;
import org.acaciamux.internal.protocol.wire.ResponseHead;
import org.acaciamux.internal.protocol.wire.WireOutcome;

/**
 * Builds the frames that agents send.
 */
final class AgentFrames {

	private AgentFrames() {
	}

	static Frame head(RequestId id, String server) {
		return Frame.newBuilder()
			.setHead(ResponseHead.newBuilder().setId(id).setStatus(200).setServer(server).setLoad(3))
			.build();
	}

	static Frame chunk(RequestId id, long offset, String data) {
		return Frame.newBuilder()
			.setChunk(Chunk.newBuilder().setId(id).setOffset(offset).setData(ByteString.copyFromUtf8(data)))
			.build();
	}

	static Frame end(RequestId id, long length) {
		return Frame.newBuilder()
			.setEnd(End.newBuilder().setId(id).setOutcome(WireOutcome.OUTCOME_ANSWERED).setLength(length))
			.build();
	}

	static Frame refused(RequestId id, FailureCode code, WireOutcome outcome, boolean redirect, int load,
			String owner) {
		return Frame.newBuilder()
			.setRefused(Refused.newBuilder()
				.setId(id)
				.setFailureCode(code.code())
				.setOutcome(outcome)
				.setRedirect(redirect)
				.setLoad(load)
				.setOwner(owner)
				.setRetryAfterMs(2_500))
			.build();
	}

	static Frame redirect(RequestId id, FailureCode code, int load) {
		return refused(id, code, WireOutcome.OUTCOME_NOT_RUN, true, load, "");
	}

	static Frame resolution(RequestId id, RequestState state, long incarnation, WireOutcome outcome) {
		return Frame.newBuilder()
			.setResolution(
					Resolution.newBuilder().setId(id).setState(state).setIncarnation(incarnation).setOutcome(outcome))
			.build();
	}

}
