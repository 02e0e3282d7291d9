package org.acaciamux.internal.coordination.evacuation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import org.agrona.concurrent.NanoClock;

import org.acaciamux.internal.coordination.direct.DirectoryPosition;

/**
 * Decides which failure domains are evacuated. Answers the load pattern of an operator
 * who evacuates one or more domains under full traffic while watches, links between
 * routers or the directory itself fail. Invariants: a set replaces the one before as a
 * whole, and only if its position is newer; a domain that the directory's former era
 * listed stays evacuated for {@link #HOLD_MS} after the return, unless the new era
 * removes it. Confined to the event loop.
 */
public final class EvacuatedDomains {

	/**
	 * How long a domain of the directory's former era stays evacuated, in milliseconds:
	 * the operator writes again what the older copy lacks, which takes a few seconds.
	 */
	static final long HOLD_MS = 5_000;

	private final NanoClock clock;

	private final Listener listener;

	private boolean known;

	private DirectoryPosition position = DirectoryPosition.NONE;

	private Set<String> listed = Set.of();

	/** Domains of the former era, with the time at which each hold ends. */
	private final Map<String, Long> heldUntil = new TreeMap<>();

	/**
	 * Domains of which this era has told, or which were held in it. They are not held
	 * again because another router still holds them.
	 */
	private final Set<String> settled = new HashSet<>();

	/** What the listener was told last. */
	private Set<String> inForce = Set.of();

	/**
	 * Create an empty set, which is not known yet.
	 * @param clock the monotonic clock
	 * @param listener notified of every change
	 */
	public EvacuatedDomains(NanoClock clock, Listener listener) {
		this.clock = clock;
		this.listener = listener;
	}

	/**
	 * Apply a set that the directory or another router tells.
	 * @param told the set
	 * @param removed domains of which the directory reported a removal within the era of
	 * the set
	 * @param source who tells it, for the log
	 */
	public void apply(EvacuationSet told, Set<String> removed, String source) {
		boolean first = !this.known;
		if (first || told.position().isAfter(this.position)) {
			replace(told, removed);
		}
		if (told.position().era() == this.position.era()) {
			told.heldMs().forEach(this::hold);
		}
		publish(first, source);
	}

	private void replace(EvacuationSet next, Set<String> removed) {
		if (this.known && next.position().era() > this.position.era()) {
			this.settled.clear();
			this.heldUntil.clear();
			this.inForce.forEach((domain) -> hold(domain, HOLD_MS));
		}
		else {
			this.heldUntil.keySet().removeAll(this.listed);
		}
		this.heldUntil.keySet().removeAll(next.domains());
		this.heldUntil.keySet().removeAll(removed);
		this.settled.addAll(next.domains());
		this.settled.addAll(removed);
		this.listed = next.domains();
		this.position = next.position();
		this.known = true;
	}

	private void hold(String domain, long ms) {
		if (ms > 0 && this.settled.add(domain)) {
			this.heldUntil.put(domain, this.clock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Math.min(ms, HOLD_MS)));
		}
	}

	/**
	 * End the holds whose time has passed. Called several times a second.
	 */
	public void tick() {
		publish(false, "timer");
	}

	private void publish(boolean first, String source) {
		long now = this.clock.nanoTime();
		this.heldUntil.values().removeIf((until) -> until - now <= 0);
		Set<String> next = new TreeSet<>(this.listed);
		next.addAll(this.heldUntil.keySet());
		if (!first && next.equals(this.inForce)) {
			return;
		}
		// Assigned last, so that a change whose application fails is applied again.
		this.listener.evacuated(new Change(Set.copyOf(next), difference(next, this.inForce),
				difference(this.inForce, next), Set.copyOf(this.heldUntil.keySet()), this.position, source));
		this.inForce = Set.copyOf(next);
	}

	private static Set<String> difference(Set<String> from, Set<String> without) {
		Set<String> rest = new TreeSet<>(from);
		rest.removeAll(without);
		return rest;
	}

	/**
	 * Return what other routers are told.
	 * @return the set, empty while none is known
	 */
	public Optional<EvacuationSet> told() {
		if (!this.known) {
			return Optional.empty();
		}
		long now = this.clock.nanoTime();
		Map<String, Long> heldMs = new HashMap<>();
		this.heldUntil
			.forEach((domain, until) -> heldMs.put(domain, Math.max(0, TimeUnit.NANOSECONDS.toMillis(until - now))));
		return Optional.of(new EvacuationSet(this.position, this.listed, heldMs));
	}

	/**
	 * A change of the evacuated domains.
	 *
	 * @param inForce all domains that are evacuated now
	 * @param begun those of them that were not evacuated before
	 * @param ended domains that are no longer evacuated
	 * @param held those in force that only the directory's former era listed
	 * @param position the position of the set
	 * @param source who told it
	 */
	public record Change(Set<String> inForce, Set<String> begun, Set<String> ended, Set<String> held,
			DirectoryPosition position, String source) {
	}

	/**
	 * Notified of changes.
	 */
	@FunctionalInterface
	public interface Listener {

		/**
		 * The evacuated domains changed, or became known.
		 * @param change the change
		 */
		void evacuated(Change change);

	}

}
