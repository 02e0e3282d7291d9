package org.acaciamux.internal.coordination.routing;

/**
 * Handle of a routed request, used by the caller's side. Implementations are thread-safe;
 * calls after the end have no effect.
 */
public interface RoutedCall {

	/**
	 * Record that the caller has taken bytes of the body, so that the agent may send
	 * more.
	 * @param bytes the number of bytes, at least 0
	 */
	void consumed(long bytes);

	/**
	 * Cancel the request because the caller went away.
	 */
	void cancel();

}
