package org.acaciamux.internal.transport.http.limit;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Memory and connections that clients hold in a process. Answers crowds of clients that
 * send or read little, or hold much: over a bound it closes the connection that holds
 * most for longest without a complete request, or, if there are too many connections, the
 * one that waits longest, those that never had a complete request first. Invariants: a
 * connection that is being served is closed only for responses that its client does not
 * read; the connection that came last is never closed for another one's sake. Confined to
 * the event loop.
 */
public final class ClientAccount {

	/** Limits the time of one search for a connection to close. */
	private static final int MAX_SHED_AT_ONCE = 64;

	private final Set<Held> connections = new LinkedHashSet<>();

	private final ClientBounds bounds;

	private final Observer observer;

	private long bytes;

	/**
	 * Create an account without connections.
	 * @param bounds the bounds
	 * @param observer is told of each connection that is closed
	 */
	public ClientAccount(ClientBounds bounds, Observer observer) {
		this.bounds = bounds;
		this.observer = observer;
	}

	public ClientBounds bounds() {
		return this.bounds;
	}

	/**
	 * Return the memory that all connections hold.
	 * @return the number of bytes, at least 0
	 */
	public long bytes() {
		return this.bytes;
	}

	/**
	 * Return whether connections may hold responses that their clients do not read.
	 * @return whether the memory of all is under the bound for that
	 */
	boolean admitsUnread() {
		return this.bytes <= this.bounds.unreadBytes();
	}

	/**
	 * Return the number of connections at all addresses.
	 * @return the number, at least 0
	 */
	public int connections() {
		return this.connections.size();
	}

	/**
	 * Return how many connections fit at an address without closing others.
	 * @param place the address
	 * @return the number, at least 0
	 */
	int room(Place place) {
		long here = this.connections.stream().filter((held) -> held.place() == place).count();
		return (int) Math.max(0,
				Math.min(this.bounds.connections(place) - here, this.bounds.connections() - this.connections.size()));
	}

	/**
	 * Add a connection. Others may be closed for it.
	 * @param added the connection
	 * @return whether there is room for it
	 */
	boolean open(Held added) {
		boolean room = makeRoom(added, (held) -> held.place() == added.place(), this.bounds.connections(added.place()))
				&& makeRoom(added, (held) -> true, this.bounds.connections());
		if (!room) {
			this.observer.reached(Limit.CONNECTIONS, added.place());
			return false;
		}
		this.connections.add(added);
		return true;
	}

	private boolean makeRoom(Held added, Predicate<Held> competes, int limit) {
		if (this.connections.stream().filter(competes).count() < limit) {
			return true;
		}
		Optional<Held> longest = this.connections.stream()
			.filter(competes)
			.filter((held) -> held.state() != State.SERVED)
			.min(Comparator.comparing(Held::state).thenComparing(Held::quietSince, (a, b) -> Long.signum(a - b)));
		longest.ifPresent((held) -> end(held, Limit.CONNECTIONS));
		return longest.isPresent();
	}

	void closed(Held held) {
		if (this.connections.remove(held)) {
			this.bytes -= held.charged();
		}
	}

	/**
	 * Change what a connection is charged with. Closes connections, possibly this one, if
	 * the memory of all is over the bound.
	 * @param change the number of bytes, negative if they were released
	 * @param now the monotonic time in nanoseconds
	 */
	void charge(long change, long now) {
		this.bytes += change;
		for (int i = 0; i < MAX_SHED_AT_ONCE && this.bytes > this.bounds.memoryBytes(); i++) {
			Optional<Held> largest = this.connections.stream()
				.filter((held) -> held.sheddableBytes() > 0)
				.max(Comparator.comparingDouble((held) -> weight(held, now)));
			if (largest.isEmpty()) {
				return;
			}
			end(largest.get(), Limit.MEMORY);
		}
	}

	private static double weight(Held held, long now) {
		return (double) held.sheddableBytes() * Math.max(1, now - held.quietSince());
	}

	/**
	 * Close connections that take too long. Called a few times a second.
	 * @param now the monotonic time in nanoseconds
	 */
	public void tick(long now) {
		for (Held held : this.connections.toArray(Held[]::new)) {
			held.overdue(now).ifPresent((limit) -> end(held, limit));
		}
	}

	private void end(Held held, Limit limit) {
		closed(held);
		this.observer.reached(limit, held.place());
		held.close(limit);
	}

	/**
	 * Receives the connections that are closed.
	 */
	public interface Observer {

		/**
		 * Receive a connection.
		 * @param limit why it is closed
		 * @param place where it was accepted
		 */
		void reached(Limit limit, Place place);

	}

	/**
	 * State of a connection, in the order in which connections are closed for others.
	 */
	enum State {

		/** No head is complete. */
		HEAD,

		/** A head is complete and its body is not. */
		BODY,

		/** Requests have been served, and none is in progress. */
		IDLE,

		/** A request is being served. */
		SERVED

	}

	/**
	 * A connection.
	 */
	interface Held {

		Place place();

		State state();

		/**
		 * Return the bytes that were charged to it.
		 * @return the number, at least 0
		 */
		long charged();

		/**
		 * Return the bytes that are released if it is closed for its client's fault.
		 * @return the number, at least 0
		 */
		long sheddableBytes();

		/**
		 * Return when it was opened or its last request was served.
		 * @return the monotonic time in nanoseconds
		 */
		long quietSince();

		Optional<Limit> overdue(long now);

		void close(Limit limit);

	}

}
