package org.acaciamux.internal.coordination.quarantine;

import java.util.Comparator;

import org.acaciamux.internal.protocol.wire.SuspectEntry;

/**
 * The crash history of one fingerprint. A completed run clears it. Invariant:
 * {@link #merge} is commutative, associative and idempotent except for the expiry, so
 * that all agents arrive at the same entry in whatever order they receive crashes and
 * clearings. Immutable and thread-safe.
 *
 * @param fingerprint the fingerprint
 * @param generation the number of times the fingerprint became suspect after a clearing
 * @param alone crashes in this generation with no other request in flight
 * @param inCompany crashes in this generation with other requests in flight
 * @param cleared whether a run completed after these crashes
 * @param expiresMs when the entry is removed, in milliseconds on the monotonic clock of
 * the agent that holds it
 */
record Suspect(long fingerprint, int generation, int alone, int inCompany, boolean cleared, long expiresMs) {

	/** Number of crashes alone in flight that leads to quarantine. */
	static final int QUARANTINE_ALONE = 2;

	/** Number of crashes, alone or not, that leads to quarantine. */
	static final int QUARANTINE_TOTAL = 3;

	/** Order in which entries are dropped when the table is full. */
	static final Comparator<Suspect> LEAST_IMPORTANT_FIRST = Comparator.comparing(Suspect::isQuarantined)
		.thenComparing(Suspect::isSuspect)
		.thenComparingInt(Suspect::total)
		.thenComparingLong(Suspect::expiresMs);

	int total() {
		return this.alone + this.inCompany;
	}

	boolean isSuspect() {
		return !this.cleared;
	}

	boolean isQuarantined() {
		return !this.cleared && (this.alone >= QUARANTINE_ALONE || total() >= QUARANTINE_TOTAL);
	}

	Suspect crashed(boolean aloneInFlight, long expires) {
		int nextGeneration = this.cleared ? this.generation + 1 : this.generation;
		int oldAlone = this.cleared ? 0 : this.alone;
		int oldInCompany = this.cleared ? 0 : this.inCompany;
		return new Suspect(this.fingerprint, nextGeneration, oldAlone + (aloneInFlight ? 1 : 0),
				oldInCompany + (aloneInFlight ? 0 : 1), false, expires);
	}

	Suspect clear(long expires) {
		return new Suspect(this.fingerprint, this.generation, this.alone, this.inCompany, true, expires);
	}

	/**
	 * Merge with the entry of another agent. Within one generation, a clearing prevails
	 * over entries with the same or fewer crashes; a crash that the clearing agent had
	 * not heard of keeps the request suspect.
	 * @param other the other entry
	 * @return the merged entry
	 */
	Suspect merge(Suspect other) {
		if (this.generation != other.generation) {
			return (this.generation > other.generation) ? this : other;
		}
		int mergedAlone = Math.max(this.alone, other.alone);
		int mergedInCompany = Math.max(this.inCompany, other.inCompany);
		boolean mergedCleared = clears(mergedAlone, mergedInCompany) || other.clears(mergedAlone, mergedInCompany);
		boolean changed = mergedAlone != this.alone || mergedInCompany != this.inCompany
				|| mergedCleared != this.cleared;
		long expires = changed ? Math.max(this.expiresMs, other.expiresMs) : this.expiresMs;
		return new Suspect(this.fingerprint, this.generation, mergedAlone, mergedInCompany, mergedCleared, expires);
	}

	private boolean clears(int crashesAlone, int crashesInCompany) {
		return this.cleared && this.alone >= crashesAlone && this.inCompany >= crashesInCompany;
	}

	SuspectEntry toWire(long nowMs, String runningAt) {
		return SuspectEntry.newBuilder()
			.setFingerprint(this.fingerprint)
			.setGeneration(this.generation)
			.setCrashesAlone(this.alone)
			.setCrashesInCompany(this.inCompany)
			.setCleared(this.cleared)
			.setTtlMs((int) Math.max(0, this.expiresMs - nowMs))
			.setDesignated(runningAt)
			.build();
	}

	static Suspect fromWire(SuspectEntry entry, long nowMs) {
		return new Suspect(entry.getFingerprint(), entry.getGeneration(), entry.getCrashesAlone(),
				entry.getCrashesInCompany(), entry.getCleared(), nowMs + Integer.toUnsignedLong(entry.getTtlMs()));
	}

}
