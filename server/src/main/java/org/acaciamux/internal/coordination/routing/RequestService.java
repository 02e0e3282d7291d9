package org.acaciamux.internal.coordination.routing;

/**
 * Runs requests of callers. Implementations are thread-safe and do not block.
 */
@FunctionalInterface
public interface RequestService {

	/**
	 * Run a request.
	 * @param request the request
	 * @param sink receives the response; may be called before this method returns
	 * @return the handle by which the caller's side reports consumed bytes or cancels
	 */
	RoutedCall route(RoutedRequest request, ResponseSink sink);

}
