package org.acaciamux.internal.experiment;

import java.util.List;

/**
 * The load of an experiment. Immutable and thread-safe.
 *
 * @param seconds duration in seconds, at least 1
 * @param organisations number of organisations; the first sends the most requests (Zipf
 * distribution with exponent 0.8)
 * @param kinds the kinds of requests
 * @param surges periods in which more requests are sent
 */
public record ExperimentLoad(int seconds, int organisations, List<Kind> kinds, List<Surge> surges) {

	/**
	 * A kind of request.
	 *
	 * @param name its name
	 * @param perSecond requests per second, above 0
	 * @param sharedTokens prompt tokens that all requests of one chat share
	 * @param chats number of chats; the first gets the most requests (Zipf distribution
	 * with exponent 0.8)
	 * @param ownTokens prompt tokens that each request shares with no other
	 * @param outputTokens tokens generated
	 * @param goalMs longest time to the first token that counts as in time, in
	 * milliseconds
	 * @param limitMs time that the caller waits for the whole response, in milliseconds
	 * @param rank priority, 0 is the most urgent
	 * @param clump requests that arrive at the same time, at least 1
	 */
	public record Kind(String name, double perSecond, int sharedTokens, int chats, int ownTokens, int outputTokens,
			long goalMs, long limitMs, int rank, int clump) {

		Kind(String name, double perSecond, int sharedTokens, int chats, int ownTokens, int outputTokens, long goalMs,
				long limitMs, int rank) {
			this(name, perSecond, sharedTokens, chats, ownTokens, outputTokens, goalMs, limitMs, rank, 1);
		}

	}

	/**
	 * A period in which more requests are sent.
	 *
	 * @param atSecond its start in seconds
	 * @param forSeconds its duration in seconds
	 * @param times multiple of the usual rate
	 * @param organisation number of the organisation that sends more, from 1; 0 for all
	 */
	public record Surge(double atSecond, double forSeconds, double times, int organisation) {

		boolean covers(double second) {
			return second >= this.atSecond && second < this.atSecond + this.forSeconds;
		}

	}

}
