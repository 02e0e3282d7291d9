package org.acaciamux.internal.coordination.admission;

import java.util.List;

import com.google.protobuf.ByteString;

import org.acaciamux.Failure;
import org.acaciamux.Outcome;
import org.acaciamux.internal.protocol.wire.Chunk;
import org.acaciamux.internal.protocol.wire.End;
import org.acaciamux.internal.protocol.wire.Frame;
import org.acaciamux.internal.protocol.wire.Header;
import org.acaciamux.internal.protocol.wire.Refused;
import org.acaciamux.internal.protocol.wire.RequestId;
import org.acaciamux.internal.protocol.wire.ResponseHead;
import org.acaciamux.internal.protocol.wire.WireOutcome;

/**
 * Builds the frames that an agent sends about requests. Thread-safe; holds no state.
 */
final class ResponseFrames {

	private ResponseFrames() {
	}

	static Frame head(RequestId id, int status, List<Header> headers, String server, int load, boolean replayed) {
		ResponseHead.Builder head = ResponseHead.newBuilder()
			.setId(id)
			.setStatus(status)
			.addAllHeaders(headers)
			.setServer(server)
			.setLoad(load)
			.setReplayed(replayed);
		return Frame.newBuilder().setHead(head).build();
	}

	static Frame chunk(RequestId id, long offset, ByteString data) {
		Chunk.Builder chunk = Chunk.newBuilder().setId(id).setOffset(offset).setData(data);
		return Frame.newBuilder().setChunk(chunk).build();
	}

	static Frame answered(RequestId id, long length, int load) {
		End.Builder end = End.newBuilder()
			.setId(id)
			.setOutcome(WireOutcome.OUTCOME_ANSWERED)
			.setLength(length)
			.setLoad(load);
		return Frame.newBuilder().setEnd(end).build();
	}

	static Frame brokenOff(RequestId id, long length, Failure failure, int load) {
		End.Builder end = End.newBuilder()
			.setId(id)
			.setOutcome(toWire(failure.outcome()))
			.setLength(length)
			.setFailureCode(failure.code().code())
			.setDetail(failure.detail())
			.setLoad(load);
		return Frame.newBuilder().setEnd(end).build();
	}

	static Refused.Builder refused(RequestId id, Refusal refusal) {
		Failure failure = refusal.failure();
		return Refused.newBuilder()
			.setId(id)
			.setFailureCode(failure.code().code())
			.setDetail(failure.detail())
			.setOutcome(toWire(failure.outcome()))
			.setRetryAfterMs((int) Math.min(Integer.MAX_VALUE, failure.retryAfterMs()))
			.setRedirect(refusal.redirect())
			.setOwner(refusal.target());
	}

	static WireOutcome toWire(Outcome outcome) {
		return switch (outcome) {
			case ANSWERED -> WireOutcome.OUTCOME_ANSWERED;
			case NOT_RUN -> WireOutcome.OUTCOME_NOT_RUN;
			case UNKNOWN -> WireOutcome.OUTCOME_UNKNOWN;
		};
	}

}
