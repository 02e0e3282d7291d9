package org.acaciamux.internal.coordination.routing;

import com.google.protobuf.ByteString;

import org.acaciamux.Failure;
import org.acaciamux.internal.protocol.wire.ResponseHead;

/**
 * Records what a caller receives.
 */
class FakeSink implements ResponseSink {

	ResponseHead head;

	ByteString body = ByteString.EMPTY;

	Failure failure;

	boolean aborted;

	int heads;

	int ends;

	int callsAfterEnd;

	@Override
	public void head(ResponseHead head, String requestId) {
		noteCall();
		this.heads++;
		this.head = head;
	}

	@Override
	public void body(ByteString data) {
		noteCall();
		this.body = this.body.concat(data);
	}

	@Override
	public void end() {
		noteCall();
		this.ends++;
	}

	@Override
	public void fail(Failure failure, String requestId) {
		noteCall();
		this.ends++;
		this.failure = failure;
	}

	@Override
	public void abort(Failure failure) {
		noteCall();
		this.ends++;
		this.aborted = true;
		this.failure = failure;
	}

	boolean answered() {
		return this.ends == 1 && this.failure == null;
	}

	private void noteCall() {
		if (this.ends > 0) {
			this.callsAfterEnd++;
		}
	}

}
