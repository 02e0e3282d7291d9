package org.acaciamux.internal.coordination.routing;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.agrona.collections.Long2ObjectHashMap;

import org.acaciamux.internal.protocol.PeerLink;
import org.acaciamux.internal.protocol.wire.RequestId;
import org.acaciamux.internal.state.LockRank;
import org.acaciamux.internal.state.RankedLock;

/**
 * The requests that a router has in flight, by the id of their trial and by link.
 * Invariants: an id is used for one trial only, so that late frames of an earlier trial
 * match no request; each link has one close listener, however many requests use it.
 * Thread-safe.
 */
final class CallTable {

	private final RankedLock lock = new RankedLock(LockRank.ROUTER_REQUESTS);

	private final Set<RouterCall> calls = new LinkedHashSet<>();

	private final Long2ObjectHashMap<RouterCall> bySequence = new Long2ObjectHashMap<>();

	private final Map<PeerLink, Set<RouterCall>> byLink = new IdentityHashMap<>();

	private final long incarnation;

	private long sequence;

	CallTable(long incarnation) {
		this.incarnation = incarnation;
	}

	/**
	 * Add a request unless the table is full.
	 * @param call the request
	 * @param limit the largest number of requests in the table
	 * @return whether the request was added
	 */
	boolean add(RouterCall call, int limit) {
		return this.lock.get(() -> this.calls.size() < limit && this.calls.add(call));
	}

	RequestId newId(RouterCall call) {
		long next = this.lock.get(() -> {
			this.bySequence.put(++this.sequence, call);
			return this.sequence;
		});
		return RequestId.newBuilder().setIncarnation(this.incarnation).setSequence(next).build();
	}

	void forgetId(RequestId id) {
		this.lock.run(() -> this.bySequence.remove(id.getSequence()));
	}

	Optional<RouterCall> find(RequestId id) {
		return this.lock.get(() -> Optional.ofNullable(this.bySequence.get(id.getSequence())));
	}

	void attach(RouterCall call, PeerLink link) {
		boolean first = this.lock.get(() -> {
			boolean unknown = !this.byLink.containsKey(link);
			this.byLink.computeIfAbsent(link, (key) -> new LinkedHashSet<>()).add(call);
			return unknown;
		});
		if (first) {
			link.onClose((reason) -> closed(link, reason));
		}
		else if (!link.isOpen()) {
			call.linkLost(link, "it was closed before the request used it");
		}
	}

	void detach(RouterCall call, PeerLink link) {
		this.lock.run(() -> {
			Set<RouterCall> users = this.byLink.get(link);
			if (users != null) {
				users.remove(call);
			}
		});
	}

	void remove(RouterCall call) {
		this.lock.run(() -> this.calls.remove(call));
	}

	List<RouterCall> users(PeerLink link) {
		return this.lock.get(() -> List.copyOf(this.byLink.getOrDefault(link, Set.of())));
	}

	List<RouterCall> all() {
		return this.lock.get(() -> new ArrayList<>(this.calls));
	}

	int size() {
		return this.lock.get(this.calls::size);
	}

	private void closed(PeerLink link, String reason) {
		Set<RouterCall> users = this.lock.get(() -> this.byLink.remove(link));
		if (users != null) {
			List.copyOf(users).forEach((call) -> call.linkLost(link, reason));
		}
	}

}
