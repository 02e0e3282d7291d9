package org.acaciamux.examples.standin;

/**
 * Answers the requests to a stand-in. Called on the server's event loop thread, so it
 * must not block.
 */
@FunctionalInterface
interface StandInHandler {

	/**
	 * Handle a request. An {@link IllegalArgumentException} is answered with status 400.
	 * @param exchange the request; may also be answered after this method returns
	 */
	void handle(Exchange exchange);

}
