package org.acaciamux.internal.coordination.direct;

/**
 * Speeds of model engines that placement assumes. Immutable and thread-safe.
 *
 * @param promptTokensPerMs prompt tokens that an engine reads in a millisecond
 * @param stepMsPerRequest milliseconds by which one more running request delays each
 * output token of the others
 * @param spreadsPlainRequests whether requests to plain servers are spread by what each
 * server can take, instead of all going to the one with the least load
 */
public record PlacementSettings(double promptTokensPerMs, double stepMsPerRequest, boolean spreadsPlainRequests) {

	/**
	 * Create settings with which requests to plain servers are not spread.
	 * @param promptTokensPerMs prompt tokens that an engine reads in a millisecond
	 * @param stepMsPerRequest delay of each output token by one more running request
	 */
	public PlacementSettings(double promptTokensPerMs, double stepMsPerRequest) {
		this(promptTokensPerMs, stepMsPerRequest, false);
	}

}
