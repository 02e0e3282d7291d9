package org.acaciamux.internal.coordination.admission;

import java.util.List;
import java.util.concurrent.CompletionStage;

import com.google.protobuf.ByteString;

import org.acaciamux.internal.protocol.wire.Header;

/**
 * The backend server beside an agent. Implementations are thread-safe.
 */
public interface Backend {

	/**
	 * Send a request. Returns without waiting for a connection.
	 * @param request the request
	 * @param listener receives the response; exactly one of {@link Listener#end} and
	 * {@link Listener#failed} is called, once, as the last call
	 * @return the running call
	 */
	Call start(BackendRequest request, Listener listener);

	/**
	 * Ask the server whether it is up and which incarnation it has.
	 * @return the result; never completes exceptionally
	 */
	CompletionStage<Health> probe();

	/**
	 * A request that is being run. Implementations are thread-safe; every method may be
	 * called after the end and then does nothing.
	 */
	interface Call {

		/**
		 * Stop reading the response. Bytes that were already read are still delivered.
		 */
		void pause();

		/**
		 * Continue reading the response after a pause.
		 */
		void resume();

		/**
		 * Cancel the request in the server. The listener gets {@link Break#CANCELLED}
		 * once the server no longer runs the request, unless the response ended before
		 * that.
		 */
		void cancel();

	}

	/**
	 * Receives a response. Called on a thread that must not block, one call at a time.
	 */
	interface Listener {

		/**
		 * The status line and headers arrived.
		 * @param status the HTTP status
		 * @param headers the headers, hop-by-hop headers excluded
		 */
		void head(int status, List<Header> headers);

		/**
		 * Only the end of the connection will mark the end of the response, so a response
		 * that was cut off may look complete. Called after the head.
		 */
		default void endsWithConnection() {
		}

		/**
		 * Bytes of the body arrived.
		 * @param data the bytes
		 */
		void data(ByteString data);

		/**
		 * The response is complete.
		 */
		void end();

		/**
		 * The response will not be completed.
		 * @param cause the cause
		 * @param detail a description of the failure for logs and callers
		 */
		void failed(Break cause, String detail);

	}

	/**
	 * Why a response was not completed. Immutable and thread-safe.
	 */
	enum Break {

		/**
		 * No byte of the request was written to a connection: it did not run.
		 */
		NOT_SENT,
		/**
		 * The server did not accept a connection in time: the request did not run, and
		 * nothing shows whether the server is there.
		 */
		NOT_CONNECTED,
		/**
		 * The connection broke, or the response was malformed, after bytes were sent.
		 */
		BROKEN_OFF,
		/**
		 * The agent cancelled the request.
		 */
		CANCELLED;

		/**
		 * Return whether the request cannot have run.
		 * @return whether no byte of it was written
		 */
		public boolean provesNotRun() {
			return this == NOT_SENT || this == NOT_CONNECTED;
		}

		/**
		 * Return what the break shows about the server if it ends a probe.
		 * @return the state of the server
		 */
		public Health.State probeState() {
			return (this == NOT_CONNECTED) ? Health.State.SILENT : Health.State.REFUSED;
		}

	}

	/**
	 * Result of a probe. Immutable and thread-safe.
	 *
	 * @param state whether the server accepted the connection and answered
	 * @param incarnation the text that identifies the server's process, empty if it
	 * reports none
	 */
	record Health(State state, String incarnation) {

		/**
		 * How the server reacted to a probe. Immutable and thread-safe.
		 */
		public enum State {

			/** The server answered. */
			UP,
			/** The server refused or reset the connection. */
			REFUSED,
			/** The server did not accept the connection or did not answer in time. */
			SILENT

		}

	}

	/**
	 * A request to a backend server. Immutable and thread-safe.
	 *
	 * @param requestId the id that the server sees, visible ASCII
	 * @param priority the name of the priority
	 * @param repeatable whether the request may use a connection that has been idle; a
	 * server may close such a connection while the request is written, which leaves open
	 * whether it ran
	 * @param method the HTTP method
	 * @param path the path with its query
	 * @param headers the headers
	 * @param body the body
	 */
	record BackendRequest(String requestId, String priority, boolean repeatable, String method, String path,
			List<Header> headers, ByteString body) {

		public BackendRequest {
			headers = List.copyOf(headers);
		}

	}

}
