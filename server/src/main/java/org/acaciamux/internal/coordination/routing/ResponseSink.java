package org.acaciamux.internal.coordination.routing;

import com.google.protobuf.ByteString;

import org.acaciamux.Failure;
import org.acaciamux.internal.protocol.wire.ResponseHead;

/**
 * Passes the response of one request to its caller. The router calls {@link #head} once,
 * {@link #body} any number of times and {@link #end} once; or {@link #fail} once and
 * nothing else; or {@link #abort} once after {@link #head}. Calls never overlap.
 * Implementations must not block.
 */
public interface ResponseSink {

	/**
	 * Start the response.
	 * @param head status and headers of the backend server's response
	 * @param requestId the id of the request, for support and logs
	 */
	void head(ResponseHead head, String requestId);

	/**
	 * Continue the response. The sink reports the bytes that the caller has taken through
	 * {@link RoutedCall#consumed}.
	 * @param data the next bytes of the body
	 */
	void body(ByteString data);

	/**
	 * Complete the response.
	 */
	void end();

	/**
	 * Answer with a problem instead of a response.
	 * @param failure the failure
	 * @param requestId the id of the request, for support and logs
	 */
	void fail(Failure failure, String requestId);

	/**
	 * Break the response off in a way that the caller notices.
	 * @param failure why it cannot be completed
	 */
	void abort(Failure failure);

}
