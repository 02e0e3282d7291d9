package org.acaciamux.internal.coordination.quarantine;

import java.util.Comparator;

import org.acaciamux.internal.protocol.wire.SuspectEntry;

/**
 * What is known about one fingerprint. Invariant: {@link #merge} is commutative,
 * associative and idempotent in everything but the expiry, so that all agents arrive at
 * the same entry in whatever order they hear of crashes and clearings. Immutable and
 * thread-safe.
 *
 * @param fingerprint the fingerprint
 * @param generation how often the fingerprint became suspect again after a clearing
 * @param alone crashes in which it was alone in flight
 * @param inCompany crashes in which other requests were in flight too
 * @param cleared whether a run completed after these crashes
 * @param expiresMs when the entry is forgotten, on the holder's monotonic clock
 */
record Suspect(long fingerprint, int generation, int alone, int inCompany, boolean cleared, long expiresMs) {

	/** Crashes alone in flight that lead to quarantine. */
	static final int QUARANTINE_ALONE = 2;

	/** Crashes of any kind that lead to quarantine. */
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
	 * Combine with what another agent knows. A clearing holds against entries with the
	 * same or fewer crashes of its generation; a crash that the clearing agent did not
	 * know of keeps the request suspect.
	 * @param other the other entry
	 * @return the combined entry
	 */
	Suspect merge(Suspect other) {
		if (this.generation != other.generation) {
			return (this.generation > other.generation) ? this : other;
		}
		int mergedAlone = Math.max(this.alone, other.alone);
		int mergedInCompany = Math.max(this.inCompany, other.inCompany);
		boolean mergedCleared = clears(mergedAlone, mergedInCompany) || other.clears(mergedAlone, mergedInCompany);
		boolean news = mergedAlone != this.alone || mergedInCompany != this.inCompany || mergedCleared != this.cleared;
		long expires = news ? Math.max(this.expiresMs, other.expiresMs) : this.expiresMs;
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
