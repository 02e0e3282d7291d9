package org.acaciamux.internal.transport.http.direct;

import java.util.Arrays;
import java.util.Set;
import java.util.stream.LongStream;

import org.acaciamux.internal.state.StableHash;

/**
 * The attempts that were sent on one connection to a backend server, which tell whose its
 * responses are. Invariant: a response counts as one to an earlier request only if it is
 * known to be; {@link #MAX_REMEMBERED} bounds the memory, and a copy that is later than
 * that counts as unknown. Confined to the event loop.
 */
final class SentAttempts {

	/** Attempts before the last one that are remembered. */
	static final int MAX_REMEMBERED = 256;

	private static final int INITIAL_CAPACITY = 4;

	/** Hashes of the attempts before the last one, the oldest is replaced first. */
	private long[] earlier = new long[INITIAL_CAPACITY];

	private int count;

	private String last = "";

	/**
	 * Record that a request is sent.
	 * @param attemptId its attempt id
	 */
	void sent(String attemptId) {
		if (this.count > 0) {
			remember(StableHash.of(this.last));
		}
		this.count++;
		this.last = attemptId;
	}

	private void remember(long hash) {
		int index = (this.count - 1) % MAX_REMEMBERED;
		if (index >= this.earlier.length) {
			this.earlier = Arrays.copyOf(this.earlier, 2 * this.earlier.length);
		}
		this.earlier[index] = hash;
	}

	/**
	 * Return the attempt that was sent last.
	 * @return its attempt id, empty if none was sent
	 */
	String last() {
		return this.last;
	}

	/**
	 * Return the number of requests that were sent.
	 * @return the number
	 */
	int count() {
		return this.count;
	}

	/**
	 * Return whether a request with an attempt id was sent. A response with this id could
	 * not be told from one to a further request with it.
	 * @param attemptId the attempt id
	 * @return whether one was
	 */
	boolean contains(String attemptId) {
		return this.count > 0 && (this.last.equals(attemptId) || remembers(attemptId));
	}

	private boolean remembers(String attemptId) {
		long hash = StableHash.of(attemptId);
		return LongStream.of(this.earlier).limit(this.count - 1).anyMatch((each) -> each == hash);
	}

	/**
	 * Find the request that a response answers.
	 * @param attemptIds the attempt ids of the response; several different ones name no
	 * request
	 * @return which request it is
	 */
	AttemptMatch match(Set<String> attemptIds) {
		if (attemptIds.isEmpty()) {
			return AttemptMatch.MISSING;
		}
		if (attemptIds.size() > 1) {
			return AttemptMatch.OTHER;
		}
		if (attemptIds.contains(this.last)) {
			return AttemptMatch.SAME;
		}
		boolean earlier = this.count > 0 && attemptIds.stream().allMatch(this::remembers);
		return earlier ? AttemptMatch.EARLIER : AttemptMatch.OTHER;
	}

	/**
	 * Return whether a response may be the one to the last request although it does not
	 * bear its attempt id. Only a copy of a response that the connection has carried may
	 * arrive late, and one that does not tell its attempt may be either; a success
	 * without an id is never passed on, but a failure must not be followed by a success.
	 * @param match which request the response answers
	 * @param failure whether it reports no success
	 * @return whether it may be
	 */
	boolean mayAnswerLast(AttemptMatch match, boolean failure) {
		return switch (match) {
			case SAME, OTHER -> true;
			case EARLIER -> false;
			case MISSING -> failure || this.count == 1;
		};
	}

}
