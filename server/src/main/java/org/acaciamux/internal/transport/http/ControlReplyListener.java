package org.acaciamux.internal.transport.http;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.ByteString;

import org.acaciamux.internal.coordination.admission.Backend;
import org.acaciamux.internal.protocol.wire.Header;

/**
 * Collects the response to a control request that the agent itself sends, such as a
 * probe. Invariant: the reply completes exactly once and never exceptionally.
 * Thread-safe.
 */
final class ControlReplyListener implements Backend.Listener {

	private static final ObjectMapper mapper = new ObjectMapper();

	private final CompletableFuture<Reply> reply = new CompletableFuture<>();

	private int status;

	private ByteString body = ByteString.EMPTY;

	private boolean endMarked = true;

	CompletableFuture<Reply> reply() {
		return this.reply;
	}

	void timeOut() {
		this.reply.complete(Reply.without(Backend.Health.State.SILENT));
	}

	@Override
	public void head(int status, List<Header> headers) {
		this.status = status;
	}

	@Override
	public void endsWithConnection() {
		this.endMarked = false;
	}

	@Override
	public void data(ByteString data) {
		this.body = this.body.concat(data);
	}

	@Override
	public void end() {
		this.reply.complete(new Reply(Backend.Health.State.UP, this.status, this.body, this.endMarked));
	}

	@Override
	public void failed(Backend.Break cause, String detail) {
		this.reply.complete(Reply.without(cause.probeState()));
	}

	/**
	 * The response to a control request. Immutable and thread-safe.
	 *
	 * @param state whether the server answered
	 * @param status the HTTP status, 0 without an answer
	 * @param body the body
	 * @param endMarked whether a length or a last chunk marks the end of the body
	 */
	record Reply(Backend.Health.State state, int status, ByteString body, boolean endMarked) {

		private static Reply without(Backend.Health.State state) {
			return new Reply(state, 0, ByteString.EMPTY, false);
		}

		boolean ok() {
			return BackendClient.isOk(this.status);
		}

		Backend.Health health() {
			// A plain service has no health endpoint and may answer with any status. It
			// then counts as up, without an incarnation.
			return new Backend.Health(this.state, ok() ? incarnation() : "");
		}

		private String incarnation() {
			try {
				JsonNode node = mapper.readTree(this.body.toByteArray());
				return node.path("incarnation").asText("");
			}
			catch (IOException ex) {
				return "";
			}
		}

	}

}
