package org.acaciamux.internal.transport.http.response;

import java.util.Optional;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;

/**
 * Decides whether a response that ended with its connection may be whole. Answers the
 * load pattern of servers that respond to long uploads before they have read them, and
 * then close the connection. Invariant: nothing else than the end of a connection is
 * judged; a length or chunks show by themselves that a response is whole. Holds no state;
 * thread-safe.
 */
public final class ConnectionEnd {

	/**
	 * Longest request whose size is not compared with the send buffer, in bytes. A
	 * shorter one fits into the buffers of both sides, so sending it always succeeds.
	 */
	private static final int MAX_SMALL_REQUEST_BYTES = 131_072;

	/**
	 * Send buffer for longer requests, in bytes. The system's own choice of up to several
	 * megabytes holds whole uploads of which the server reads nothing.
	 */
	private static final int SEND_BUFFER_BYTES = 65_536;

	private ConnectionEnd() {
	}

	/**
	 * Limit the part of a long request that has left the router while the server has not
	 * read it.
	 * @param connection the connection
	 * @param requestBytes the length of the body that is sent next
	 */
	public static void limitUnread(Channel connection, int requestBytes) {
		if (requestBytes > MAX_SMALL_REQUEST_BYTES && connection.isActive()) {
			connection.config().setOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES);
		}
	}

	/**
	 * Check a response that has ended.
	 * @param endsWithConnection whether only the end of the connection marks its end
	 * @param requestWritten whether the connection took the whole request before
	 * @return why a part of the response may be missing, empty if nothing shows it
	 */
	public static Optional<String> truncation(boolean endsWithConnection, boolean requestWritten) {
		return (endsWithConnection && !requestWritten)
				? Optional.of("the connection was closed before the request was read") : Optional.empty();
	}

}
