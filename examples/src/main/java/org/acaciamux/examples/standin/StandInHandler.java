package org.acaciamux.examples.standin;

/**
 * Answers the requests of a stand-in, on the server's event loop thread; must not block.
 */
@FunctionalInterface
interface StandInHandler {

	/**
	 * Handle a request. An {@link IllegalArgumentException} becomes status 400.
	 * @param exchange the request and the means to answer it, now or later
	 */
	void handle(Exchange exchange);

}
