package org.acaciamux.internal.coordination.admission;

import java.util.ArrayList;
import java.util.List;

import org.acaciamux.Failure;
import org.acaciamux.FailureCode;
import org.acaciamux.internal.BrokenInvariant;
import org.acaciamux.internal.coordination.membership.PoolLoadView.PoolLoad;
import org.acaciamux.internal.state.record.PoolSpec;

/**
 * Decides whether work runs now, waits, goes to another server or is refused. Invariants:
 * at the moment of admission the load does not exceed the load bound; work is admitted
 * only while the backend server is up; work that arrives after the drain has begun is
 * neither admitted nor queued. Admitted work holds an admission slot, which counts as
 * load, until {@link #ended} releases it. Not thread-safe.
 *
 * @param <T> the type of the work
 */
public final class AdmissionControl<T extends Queued> {

	/**
	 * Subtracted before rounding up: a floating-point error in the product would
	 * otherwise raise the bound by one.
	 */
	private static final double EPSILON = 1e-9;

	private final FairQueue<T> queue = new FairQueue<>();

	private final ServiceRate rate = new ServiceRate();

	private int load;

	private boolean draining;

	private Gate gate = Gate.OPEN;

	/**
	 * Compute the load bound: the mean load of the pool with one more request, times the
	 * pool's bound factor, but at most the pool's highest concurrency.
	 * @param pool the pool's settings
	 * @param others the load of the other members
	 * @param ownLoad the load of this agent's server
	 * @return the highest load that an admission may lead to, at least 1
	 */
	public static int limit(PoolSpec pool, PoolLoad others, int ownLoad) {
		double total = (double) others.othersLoad() + ownLoad + 1;
		double bound = Math.ceil(pool.loadBound() * total / Math.max(1, others.members()) - EPSILON);
		return (int) Math.max(1, Math.min(pool.maxConcurrency(), bound));
	}

	/**
	 * Decide whether arriving work is admitted, queued or refused.
	 * @param work the work
	 * @param pool the pool's settings
	 * @param others the load of the other members
	 * @param mayRedirect whether the router has other servers to try
	 * @param nowMs the time
	 * @return the decision; the work counts as load after {@link Decision#ADMIT} and is
	 * queued after {@link Decision#QUEUE}
	 */
	public Verdict offer(T work, PoolSpec pool, PoolLoad others, boolean mayRedirect, long nowMs) {
		if (this.draining) {
			return redirect(FailureCode.DRAINING, "The agent is draining; send the request to another server", nowMs);
		}
		if (this.gate == Gate.CLOSED) {
			return redirect(FailureCode.BACKEND_DOWN, "The backend server accepts no connections", nowMs);
		}
		if (this.queue.size() == 0 && hasRoom(pool, others)) {
			this.load++;
			return Verdict.ADMITTED;
		}
		if (mayRedirect && this.gate == Gate.PAUSED) {
			return redirect(FailureCode.BACKEND_DOWN,
					"A connection to the backend server broke; the server is being checked", nowMs);
		}
		if (mayRedirect) {
			return redirect(FailureCode.LOAD_BOUND, "The load bound of " + pool.name() + " is reached", nowMs);
		}
		return enqueue(work, pool, nowMs);
	}

	private boolean hasRoom(PoolSpec pool, PoolLoad others) {
		return this.gate == Gate.OPEN && this.load < limit(pool, others, this.load);
	}

	private Verdict redirect(FailureCode code, String detail, long nowMs) {
		return new Verdict(Decision.REDIRECT, Failure.notRun(code, detail, retryAfterMs(nowMs)));
	}

	private Verdict enqueue(T work, PoolSpec pool, long nowMs) {
		String organisation = work.organisation().name();
		int share = Math.max(1, (int) (pool.queueLimit() * work.organisation().maxQueueShare()));
		if (this.queue.size() >= pool.queueLimit()) {
			return refuse("The queue of " + pool.queueLimit() + " requests is full", work, nowMs);
		}
		if (this.queue.size(organisation) >= share) {
			return refuse("The organisation's share of " + share + " queued requests is used up", work, nowMs);
		}
		long waitMs = waitMs(work, nowMs);
		long boundMs = Math.min(pool.queueWaitMs(), work.deadlineMs() - nowMs);
		if (this.rate.isKnown(nowMs) && waitMs > boundMs) {
			return refuse("The expected wait of " + waitMs + " ms is longer than the " + boundMs + " ms left", work,
					nowMs);
		}
		this.queue.add(work);
		return Verdict.QUEUED;
	}

	private Verdict refuse(String detail, T work, long nowMs) {
		String advice = detail + "; retry after the time in Retry-After";
		return new Verdict(Decision.REFUSE, Failure.notRun(FailureCode.QUEUE_FULL, advice, waitMs(work, nowMs)));
	}

	private long waitMs(T work, long nowMs) {
		int ahead = this.queue.requestsAhead(work.organisation().name(), work.organisation().weight());
		return this.rate.waitMs(ahead, nowMs);
	}

	/**
	 * Estimate the time until the server has room again.
	 * @param nowMs the time
	 * @return milliseconds, 100 to 60,000
	 */
	public long retryAfterMs(long nowMs) {
		return this.rate.waitMs(this.queue.size(), nowMs);
	}

	/**
	 * Admit queued work as far as the load bound allows.
	 * @param pool the pool's settings
	 * @param others the load of the other members
	 * @param nowMs the time
	 * @return the admitted work, which counts as load from now on
	 */
	public List<T> admit(PoolSpec pool, PoolLoad others, long nowMs) {
		List<T> admitted = new ArrayList<>();
		while (this.queue.size() > 0 && hasRoom(pool, others)) {
			admitted.add(this.queue.poll(nowMs).orElseThrow());
			this.load++;
		}
		return admitted;
	}

	/**
	 * Remove queued work that has passed its deadline or the pool's longest wait.
	 * @param pool the pool's settings
	 * @param nowMs the time
	 * @return the removed work; none of it has run
	 */
	public List<T> expire(PoolSpec pool, long nowMs) {
		return this.queue.expire(nowMs, pool.queueWaitMs());
	}

	/**
	 * Remove work from the queue.
	 * @param work the work
	 * @return whether it was queued
	 */
	public boolean remove(T work) {
		return this.queue.remove(work);
	}

	/**
	 * Remove all queued work.
	 * @return the removed work; none of it has run
	 */
	public List<T> clearQueue() {
		return this.queue.clear();
	}

	/**
	 * Release the admission slot of an admitted request that the server no longer runs.
	 * @param served whether the server completed it, which counts for the service rate
	 * @param nowMs the time
	 */
	public void ended(boolean served, long nowMs) {
		this.load--;
		if (this.load < 0) {
			throw new BrokenInvariant("More requests ended than were admitted; the load would be " + this.load);
		}
		if (served) {
			this.rate.completed(nowMs);
		}
	}

	/**
	 * Refuse all work that arrives from now on. Cannot be undone.
	 */
	public void drain() {
		this.draining = true;
	}

	/**
	 * Set whether the backend server accepts work.
	 * @param gate the new state; work that is already queued stays queued
	 */
	public void gate(Gate gate) {
		this.gate = gate;
	}

	/**
	 * Return the load.
	 * @return admitted requests that have not ended
	 */
	public int load() {
		return this.load;
	}

	/**
	 * Return the queue.
	 * @return the queue; to be read only
	 */
	public FairQueue<T> queue() {
		return this.queue;
	}

	/**
	 * Return whether the drain has begun.
	 * @return whether new work is refused
	 */
	public boolean draining() {
		return this.draining;
	}

	/**
	 * Whether the backend server accepts work. Immutable and thread-safe.
	 */
	public enum Gate {

		/** Work is sent to the server. */
		OPEN,
		/** The server's health is being checked: nothing is sent, work may be queued. */
		PAUSED,
		/** The server is down: work is refused. */
		CLOSED

	}

	/**
	 * Kind of a decision. Immutable and thread-safe.
	 */
	public enum Decision {

		/** Run the work now. */
		ADMIT,
		/** The work was queued. */
		QUEUE,
		/** The work does not run here; the router may try another server at once. */
		REDIRECT,
		/** The work does not run here and should be sent again later. */
		REFUSE

	}

	/**
	 * A decision. Immutable and thread-safe.
	 *
	 * @param decision the kind
	 * @param failure why the work was neither admitted nor queued; null if it was
	 */
	public record Verdict(Decision decision, Failure failure) {

		private static final Verdict ADMITTED = new Verdict(Decision.ADMIT, null);

		private static final Verdict QUEUED = new Verdict(Decision.QUEUE, null);

	}

}
