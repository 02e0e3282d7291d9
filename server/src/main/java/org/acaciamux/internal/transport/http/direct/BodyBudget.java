package org.acaciamux.internal.transport.http.direct;

import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Bounds the memory that the requests of all callers occupy. Invariants: memory is
 * reserved before it is allocated; while the reservations exceed the budget, the bodies
 * that began last are refused, so that those that began earlier can complete; a complete
 * body is never refused; large bodies leave a part of the budget to small ones. Confined
 * to the event loop.
 */
public final class BodyBudget {

	/** Bytes of all requests together: a third of the heap in use. */
	public static final long DEFAULT_MAX_BYTES = 32 * 1_048_576;

	/** Size in bytes above which a body counts as large. */
	static final int LARGE_BODY_BYTES = 65_536;

	/** Share of the budget that large bodies and requests read ahead may use. */
	private static final double LARGE_SHARE = 0.75;

	private final NavigableMap<Long, RequestBody> arrivingSmall = new TreeMap<>();

	private final NavigableMap<Long, RequestBody> arrivingLarge = new TreeMap<>();

	private final long maxBytes;

	private final long maxLargeBytes;

	private long bytes;

	private long largeBytes;

	private long lastNumber;

	/**
	 * Create a budget.
	 * @param maxBytes largest number of bytes that all requests may occupy
	 */
	public BodyBudget(long maxBytes) {
		this.maxBytes = maxBytes;
		this.maxLargeBytes = (long) (maxBytes * LARGE_SHARE);
	}

	/**
	 * Return the number of bytes that are reserved.
	 * @return the number, at least 0
	 */
	public long bytes() {
		return this.bytes;
	}

	/**
	 * Return whether requests should not be read ahead.
	 * @return whether large bodies and requests read ahead have used up their share
	 */
	boolean tight() {
		return this.largeBytes >= this.maxLargeBytes || this.bytes >= this.maxBytes;
	}

	/**
	 * Count bytes of requests that were read ahead.
	 * @param change the number of bytes, negative if they are released
	 */
	void readAhead(int change) {
		this.bytes += change;
		this.largeBytes += change;
	}

	long begin(RequestBody body) {
		long number = ++this.lastNumber;
		arriving(body).put(number, body);
		return number;
	}

	private NavigableMap<Long, RequestBody> arriving(RequestBody body) {
		return body.large() ? this.arrivingLarge : this.arrivingSmall;
	}

	/**
	 * Move a body that has become large.
	 * @param number its number
	 * @param body the body
	 */
	void becameLarge(long number, RequestBody body) {
		this.arrivingSmall.remove(number);
		this.arrivingLarge.put(number, body);
		this.largeBytes += body.reserved();
	}

	/**
	 * Reserve memory for a body that is arriving. Refuses bodies, possibly this one,
	 * until the others fit.
	 * @param body the body
	 * @param added the number of bytes
	 */
	void reserve(RequestBody body, int added) {
		count(body, added);
		while (this.largeBytes > this.maxLargeBytes && !this.arrivingLarge.isEmpty()) {
			this.arrivingLarge.lastEntry().getValue().refuse();
		}
		while (this.bytes > this.maxBytes && !(this.arrivingLarge.isEmpty() && this.arrivingSmall.isEmpty())) {
			(this.arrivingLarge.isEmpty() ? this.arrivingSmall : this.arrivingLarge).lastEntry().getValue().refuse();
		}
	}

	private void count(RequestBody body, int change) {
		this.bytes += change;
		if (body.large()) {
			this.largeBytes += change;
		}
	}

	/**
	 * Record that a body has arrived, and cannot be refused any more.
	 * @param number its number
	 * @param body the body
	 */
	void arrived(long number, RequestBody body) {
		arriving(body).remove(number);
	}

	/**
	 * Release the memory of a body.
	 * @param number its number
	 * @param body the body
	 */
	void release(long number, RequestBody body) {
		arrived(number, body);
		count(body, -body.reserved());
	}

}
