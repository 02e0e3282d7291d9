package org.acaciamux.internal.transport.http.direct;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

import org.acaciamux.internal.coordination.direct.SendResult;

/**
 * Receives one response of a {@link ServerChannel}. No call follows {@link #completed} or
 * {@link #broken}. Called on the event loop.
 */
interface ServerListener {

	/**
	 * A response arrived that does not bear the attempt id of the request, or an interim
	 * one; it is not passed on.
	 * @param response the response
	 */
	void skipped(DroppedResponse response);

	/**
	 * The head of the response arrived.
	 * @param response the head
	 * @param reply what the server states in its headers
	 */
	void head(HttpResponse response, WireFormat.ServerReply reply);

	/**
	 * A part of the body arrived.
	 * @param data the part, valid during the call
	 */
	void data(ByteBuf data);

	/**
	 * The response is complete.
	 * @param endMarked whether a length or chunks show that it is; otherwise its
	 * connection was closed, which a crash does too
	 */
	void completed(boolean endMarked);

	/**
	 * The response will not be completed.
	 * @param result how the send ended
	 * @param reason the cause, for the log
	 */
	void broken(SendResult result, String reason);

}
