package org.acaciamux.internal.coordination.routing;

/**
 * What the caller's side may do with a request that the router has accepted.
 * Implementations are thread-safe; calls after the end have no effect.
 */
public interface RoutedCall {

	/**
	 * Note that the caller has taken bytes of the body, so that the agent may send more.
	 * @param bytes the number of bytes, at least 0
	 */
	void consumed(long bytes);

	/**
	 * Note that the caller went away.
	 */
	void cancel();

}
