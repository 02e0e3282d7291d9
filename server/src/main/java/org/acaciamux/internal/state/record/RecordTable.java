package org.acaciamux.internal.state.record;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Predicate;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;

import org.acaciamux.internal.event.EventLog;
import org.acaciamux.internal.state.LockRank;
import org.acaciamux.internal.state.RankedLock;

/**
 * The records that this process holds and those in force. Invariants: the version held of
 * a record, and the version in force, never go back; a record that cannot be read is held
 * and passed on, while the last readable version stays in force; everything up to
 * {@link #completeRevision()} is held, so that a record with a version at or below it
 * that is not held has been deleted and is never taken over again.
 * <p>
 * Thread-safe. Reads take no lock, so that they are allowed under any lock; changes take
 * the lock of rank {@link LockRank#RECORD_TABLE}. Listeners are called after the lock is
 * released.
 */
public final class RecordTable implements RecordView {

	private final RankedLock lock = new RankedLock(LockRank.RECORD_TABLE);

	private final Map<RecordKey, HeldRecord> held = new ConcurrentHashMap<>();

	private final Map<RecordKey, InForce> inForce = new ConcurrentHashMap<>();

	private final Map<RecordKey, UnreadableRecord> unreadable = new ConcurrentHashMap<>();

	private final Map<RecordKey, Long> tombstoneSinceMs = new HashMap<>();

	private final List<Consumer<Set<RecordKey>>> listeners = new CopyOnWriteArrayList<>();

	private volatile long highestVersion;

	private volatile long completeRevision;

	private volatile long hash;

	/**
	 * Call a listener with the keys of each change, after it is in force.
	 * @param listener the listener
	 */
	public void onChange(Consumer<Set<RecordKey>> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Take over versions that are newer than the ones held.
	 * @param records the versions, in any order
	 * @param nowMs the time in milliseconds, for the age of tombstones
	 * @return the versions that were newer
	 */
	public List<HeldRecord> apply(Collection<HeldRecord> records, long nowMs) {
		List<HeldRecord> applied = this.lock.get(() -> applyNewer(records, nowMs));
		notifyListeners(applied);
		return applied;
	}

	/**
	 * Take over everything that another place holds up to a revision: versions that are
	 * newer, and the deletion of records of the listed kinds that it does not hold.
	 * @param kinds tells which kinds the listing covers
	 * @param records the versions listed with their values
	 * @param listed keys of all live records of these kinds, listed with a value or
	 * without
	 * @param revision the revision up to which the listing is complete
	 * @param nowMs the time in milliseconds
	 * @return the versions that changed here, tombstones included
	 */
	public List<HeldRecord> applyListing(Predicate<String> kinds, Collection<HeldRecord> records, Set<RecordKey> listed,
			long revision, long nowMs) {
		List<HeldRecord> applied = this.lock.get(() -> {
			List<HeldRecord> all = new ArrayList<>(records);
			this.held.values()
				.stream()
				.filter((record) -> record.isStored() && !record.deleted() && record.version() <= revision)
				.filter((record) -> kinds.test(record.key().kind()) && !listed.contains(record.key()))
				.forEach((record) -> all.add(HeldRecord.tombstone(record.key(), Math.max(revision, record.version()))));
			return applyNewer(all, nowMs);
		});
		notifyListeners(applied);
		return applied;
	}

	/**
	 * Note that everything up to a revision is held.
	 * @param revision the revision of the object API
	 */
	public void completeThrough(long revision) {
		this.lock.run(() -> this.completeRevision = Math.max(this.completeRevision, revision));
	}

	/**
	 * Forget tombstones of a certain age. A process that lagged for longer learns of the
	 * deletion from a full listing.
	 * @param nowMs the time in milliseconds
	 * @param retentionMs how long a tombstone is kept in milliseconds
	 * @return the number of tombstones removed
	 */
	public int expireTombstones(long nowMs, long retentionMs) {
		return this.lock.get(() -> {
			List<RecordKey> expired = this.tombstoneSinceMs.entrySet()
				.stream()
				.filter((entry) -> nowMs - entry.getValue() >= retentionMs)
				.map(Map.Entry::getKey)
				.filter((key) -> this.held.get(key).version() <= this.completeRevision)
				.toList();
			expired.forEach((key) -> {
				this.tombstoneSinceMs.remove(key);
				this.held.remove(key);
			});
			return expired.size();
		});
	}

	private List<HeldRecord> applyNewer(Collection<HeldRecord> records, long nowMs) {
		List<HeldRecord> applied = new ArrayList<>();
		for (HeldRecord record : records) {
			HeldRecord old = this.held.get(record.key());
			if (isNewer(record, old)) {
				hold(record, old, nowMs);
				applied.add(record);
			}
		}
		return applied;
	}

	private boolean isNewer(HeldRecord record, HeldRecord old) {
		if (old != null) {
			return record.version() > old.version() || supersedesSameVersion(record, old);
		}
		boolean deletedBefore = record.isStored() && record.version() <= this.completeRevision;
		return !deletedBefore;
	}

	// A listing proves a deletion at its own revision, which may equal the version of the
	// record when that was the last write before the listing.
	private static boolean supersedesSameVersion(HeldRecord record, HeldRecord old) {
		return record.version() == old.version() && record.deleted() && !old.deleted();
	}

	private void hold(HeldRecord record, HeldRecord old, long nowMs) {
		long oldDigest = (old != null) ? old.digest() : 0;
		this.held.put(record.key(), record);
		this.hash += record.digest() - oldDigest;
		if (record.isStored()) {
			this.highestVersion = Math.max(this.highestVersion, record.version());
		}
		if (record.deleted()) {
			this.tombstoneSinceMs.put(record.key(), nowMs);
		}
		else {
			this.tombstoneSinceMs.remove(record.key());
		}
		putInForce(record);
	}

	private void putInForce(HeldRecord record) {
		RecordKey key = record.key();
		if (record.deleted()) {
			this.inForce.remove(key);
			this.unreadable.remove(key);
			return;
		}
		Either<List<RecordProblem>, Object> spec = RecordSchema.hasSchema(key.kind())
				? RecordSchema.read(key, record.value()) : Either.right(record.value());
		if (spec.isLeft()) {
			reportUnreadable(record, spec.getLeft());
			return;
		}
		this.inForce.put(key, new InForce(record.version(), record.value(), spec.get()));
		if (this.unreadable.remove(key) != null) {
			EventLog.log(RecordEvent.RECORD_READABLE_AGAIN, key, record.version());
		}
	}

	private void reportUnreadable(HeldRecord record, List<RecordProblem> problems) {
		InForce kept = this.inForce.get(record.key());
		long keptVersion = (kept != null) ? kept.version : 0;
		UnreadableRecord earlier = this.unreadable.get(record.key());
		long since = (earlier != null) ? earlier.sinceVersion : record.version();
		this.unreadable.put(record.key(),
				new UnreadableRecord(record.key(), record.version(), since, keptVersion, problems));
		EventLog.log(RecordEvent.RECORD_UNREADABLE, record.key(), record.version(), keptVersion, problems);
	}

	private void notifyListeners(List<HeldRecord> applied) {
		if (applied.isEmpty()) {
			return;
		}
		Set<RecordKey> keys = new HashSet<>();
		applied.forEach((record) -> keys.add(record.key()));
		this.listeners.forEach((listener) -> listener.accept(Set.copyOf(keys)));
	}

	/**
	 * List the versions held that are newer than a revision, tombstones included.
	 * @param revision the revision, 0 for all
	 * @return the versions in rising order, without the VM list unless revision is 0
	 */
	public List<HeldRecord> heldAfter(long revision) {
		return this.held.values()
			.stream()
			.filter((record) -> (revision == 0) || (record.isStored() && record.version() > revision))
			.sorted(Comparator.comparingLong(HeldRecord::version))
			.toList();
	}

	/**
	 * Find the version held of a record, readable or not.
	 * @param key the identity
	 * @return the version held
	 */
	public Optional<HeldRecord> held(RecordKey key) {
		return Optional.ofNullable(this.held.get(key));
	}

	/**
	 * Take a consistent picture of the table for a digest or an update.
	 * @param after the revision after which versions are wanted, 0 for all, -1 for none
	 * @return the picture
	 */
	public Picture picture(long after) {
		return this.lock
			.get(() -> new Picture(this.completeRevision, this.hash, (after < 0) ? List.of() : heldAfter(after)));
	}

	/**
	 * Return the revision up to which every record is held.
	 * @return the revision of the object API, 0 before the first listing
	 */
	public long completeRevision() {
		return this.completeRevision;
	}

	/**
	 * Return the revision up to which every record is in force: lower than
	 * {@link #completeRevision()} while a record cannot be read.
	 * @return the revision
	 */
	public long inForceRevision() {
		long lowestUnreadable = this.unreadable.values()
			.stream()
			.mapToLong(UnreadableRecord::sinceVersion)
			.min()
			.orElse(Long.MAX_VALUE);
		return Math.min(this.completeRevision, lowestUnreadable - 1);
	}

	/**
	 * Return a digest over the live records held: two tables with the same digest hold
	 * the same.
	 * @return the digest
	 */
	public long hash() {
		return this.hash;
	}

	/**
	 * List the records that are held and cannot be read.
	 * @return the records ordered by key
	 */
	public List<UnreadableRecord> unreadable() {
		return this.unreadable.values().stream().sorted(Comparator.comparing(UnreadableRecord::key)).toList();
	}

	/**
	 * Return the version of a record that is in force.
	 * @param kind the kind
	 * @param name the name
	 * @return the version, 0 if none is in force
	 */
	public long versionInForce(String kind, String name) {
		InForce record = this.inForce.get(new RecordKey(kind, name));
		return (record != null) ? record.version : 0;
	}

	@Override
	public Optional<PoolSpec> pool(String name) {
		return spec(RecordKinds.BACKEND_POOL, name, PoolSpec.class);
	}

	@Override
	public List<PoolSpec> pools() {
		return this.inForce.values()
			.stream()
			.map(InForce::spec)
			.filter(PoolSpec.class::isInstance)
			.map(PoolSpec.class::cast)
			.toList();
	}

	@Override
	public OrganisationSpec organisation(String name) {
		return spec(RecordKinds.ORGANISATION, name, OrganisationSpec.class)
			.orElseGet(() -> OrganisationSpec.defaults(name));
	}

	@Override
	public PrioritySpec priority(String name) {
		return spec(RecordKinds.PRIORITY, name, PrioritySpec.class).orElseGet(() -> PrioritySpec.defaults(name));
	}

	@Override
	public Optional<JsonNode> value(String kind, String name) {
		return Optional.ofNullable(this.inForce.get(new RecordKey(kind, name))).map(InForce::value);
	}

	@Override
	public long revision() {
		return this.highestVersion;
	}

	private <T> Optional<T> spec(String kind, String name, Class<T> type) {
		return Optional.ofNullable(this.inForce.get(new RecordKey(kind, name))).map(InForce::spec).map(type::cast);
	}

	/**
	 * What a table holds at one instant.
	 *
	 * @param revision the revision up to which it is complete
	 * @param hash the digest over the live records
	 * @param records the versions asked for
	 */
	public record Picture(long revision, long hash, List<HeldRecord> records) {
	}

	/**
	 * A record that this process holds but cannot read.
	 *
	 * @param key the identity
	 * @param version the version held, which cannot be read
	 * @param sinceVersion the first version that could not be read, at most
	 * {@code version}
	 * @param inForceVersion the version that stays in force, 0 for none
	 * @param problems what is wrong
	 */
	public record UnreadableRecord(RecordKey key, long version, long sinceVersion, long inForceVersion,
			List<RecordProblem> problems) {
	}

	private record InForce(long version, JsonNode value, Object spec) {
	}

}
