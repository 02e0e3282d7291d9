package org.acaciamux.internal.transport.http.direct;

import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Bounds the memory that the requests of all callers occupy. Invariants: memory is
 * reserved before it is allocated; while the reservations exceed the budget, small bodies
 * that have not become complete for {@link #SMALL_BODY_MS} are refused, the oldest ones
 * first, and then the bodies that began last, so that those that began earlier can
 * complete; a small body all of which has arrived is refused only if no other one is
 * still arriving; a complete body is never refused; large bodies leave a part of the
 * budget to small ones. Confined to the event loop.
 */
public final class BodyBudget {

	/** Bytes of all requests together: a third of the heap in use. */
	public static final long DEFAULT_MAX_BYTES = Math.min(32 * 1_048_576, Runtime.getRuntime().maxMemory() / 3);

	/** Size in bytes above which a body counts as large. */
	static final int LARGE_BODY_BYTES = 65_536;

	/**
	 * Time in which a small body becomes complete, in milliseconds, even if its caller
	 * sends only 13 KB a second. One that takes longer may trickle in without an end.
	 */
	static final long SMALL_BODY_MS = 5_000;

	/** Share of the budget that large bodies and requests read ahead may use. */
	private static final double LARGE_SHARE = 0.75;

	private final NavigableMap<Long, RequestBody> arrivingSmall = new TreeMap<>();

	private final NavigableMap<Long, RequestBody> arrivingLarge = new TreeMap<>();

	private final long maxBytes;

	private final long maxLargeBytes;

	private long bytes;

	private long largeBytes;

	private long lastNumber;

	private long now;

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
	 * Record the time. Called a few times a second.
	 * @param now the monotonic time in nanoseconds
	 */
	void tick(long now) {
		this.now = now;
	}

	/**
	 * Return the time of the last {@link #tick}, which is precise enough for the age of a
	 * body.
	 * @return the monotonic time in nanoseconds
	 */
	long now() {
		return this.now;
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
			next(body).refuse();
		}
	}

	private RequestBody next(RequestBody reserving) {
		if (!this.arrivingSmall.isEmpty() && overdue(this.arrivingSmall.firstEntry().getValue())) {
			return this.arrivingSmall.firstEntry().getValue();
		}
		if (!this.arrivingLarge.isEmpty()) {
			return this.arrivingLarge.lastEntry().getValue();
		}
		Map.Entry<Long, RequestBody> last = this.arrivingSmall.lastEntry();
		boolean keepsLast = last.getValue() == reserving && reserving.arrivesWhole() && this.arrivingSmall.size() > 1;
		return (keepsLast ? this.arrivingSmall.lowerEntry(last.getKey()) : last).getValue();
	}

	private boolean overdue(RequestBody body) {
		return TimeUnit.NANOSECONDS.toMillis(this.now - body.beganAt()) > SMALL_BODY_MS;
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
