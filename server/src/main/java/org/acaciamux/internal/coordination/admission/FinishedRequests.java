package org.acaciamux.internal.coordination.admission;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.acaciamux.internal.protocol.wire.RequestId;
import org.acaciamux.internal.protocol.wire.RequestState;
import org.acaciamux.internal.protocol.wire.WireOutcome;

/**
 * Remembers for a bounded time how requests ended, so that a router that lost its link
 * can ask. Invariant: a request is reported as certainly new only if no entry with its
 * sequence number or a higher one of the same router was dropped. Not thread-safe.
 */
final class FinishedRequests {

	private final LinkedHashMap<RequestId, Entry> entries = new LinkedHashMap<>();

	/** The highest sequence number dropped so far, by the router's incarnation. */
	private final LinkedHashMap<Long, Long> droppedUpTo = new LinkedHashMap<>();

	private final int limit;

	private final int routerLimit;

	private final long keepMs;

	private boolean routersDropped;

	FinishedRequests(int limit, int routerLimit, long keepMs) {
		this.limit = limit;
		this.routerLimit = routerLimit;
		this.keepMs = keepMs;
	}

	void add(RequestId id, RequestState state, WireOutcome outcome, long nowMs) {
		this.entries.put(id, new Entry(state, outcome, nowMs));
		expire(nowMs);
	}

	private void expire(long nowMs) {
		Iterator<Map.Entry<RequestId, Entry>> iterator = this.entries.entrySet().iterator();
		while (iterator.hasNext()) {
			Map.Entry<RequestId, Entry> oldest = iterator.next();
			if (this.entries.size() <= this.limit && nowMs - oldest.getValue().endedMs() <= this.keepMs) {
				return;
			}
			iterator.remove();
			recordDropped(oldest.getKey());
		}
	}

	private void recordDropped(RequestId id) {
		this.droppedUpTo.merge(id.getIncarnation(), id.getSequence(), Math::max);
		if (this.droppedUpTo.size() > this.routerLimit) {
			Iterator<Long> oldest = this.droppedUpTo.keySet().iterator();
			oldest.next();
			oldest.remove();
			this.routersDropped = true;
		}
	}

	Optional<Entry> find(RequestId id) {
		return Optional.ofNullable(this.entries.get(id));
	}

	/**
	 * Return whether a request that is not remembered certainly never reached this agent.
	 * @param id the request's id
	 * @return whether no entry for it can have been dropped
	 */
	boolean isCertainlyNew(RequestId id) {
		Long dropped = this.droppedUpTo.get(id.getIncarnation());
		if (dropped == null) {
			return !this.routersDropped;
		}
		return id.getSequence() > dropped;
	}

	int size() {
		return this.entries.size();
	}

	/**
	 * How a request ended. Immutable and thread-safe.
	 *
	 * @param state ended, refused, or not found if a router asked about a request that
	 * had not arrived
	 * @param outcome the outcome reported to the router
	 * @param endedMs the time of the end in milliseconds on the agent's monotonic clock
	 */
	record Entry(RequestState state, WireOutcome outcome, long endedMs) {
	}

}
