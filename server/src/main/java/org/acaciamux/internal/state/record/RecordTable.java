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
 * The records that this process holds, and the versions of them that are in force. The
 * version in force of a record is the newest readable one, which this process uses.
 * <p>
 * Invariants: neither the held version of a record nor its version in force ever
 * decreases, except that a deleted record has no version in force and, once its tombstone
 * has expired, no held version; a record that cannot be read is held and passed on, while
 * the last readable version stays in force; everything up to {@link #completeRevision()}
 * is held, so a record that is not held and has a version at or below that revision was
 * deleted and is never applied again.
 * <p>
 * Thread-safe. Reads acquire no lock, so they are allowed while any lock is held; changes
 * acquire the lock of rank {@link LockRank#RECORD_TABLE}. Listeners are called after that
 * lock is released.
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
	 * Register a listener.
	 * @param listener receives the keys of all records whose held version a change added
	 * or replaced, including deletions and versions that cannot be read; called after the
	 * readable versions are in force
	 */
	public void onChange(Consumer<Set<RecordKey>> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Apply the versions that are newer than the held ones.
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
	 * Apply a listing from the platform or another process: the versions that are newer
	 * than the held ones, and the deletion of records of the covered kinds that are not
	 * listed.
	 * @param kinds tells whether the listing covers a kind
	 * @param records the versions listed with their values
	 * @param listed keys of all live records of these kinds, including those listed
	 * without a value
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
				.filter((record) -> record.isFromObjectApi() && !record.deleted() && record.version() <= revision)
				.filter((record) -> kinds.test(record.key().kind()) && !listed.contains(record.key()))
				.forEach((record) -> all.add(HeldRecord.tombstone(record.key(), Math.max(revision, record.version()))));
			return applyNewer(all, nowMs);
		});
		notifyListeners(applied);
		return applied;
	}

	/**
	 * Record that everything up to a revision is held.
	 * @param revision the revision of the object API
	 */
	public void completeThrough(long revision) {
		this.lock.run(() -> this.completeRevision = Math.max(this.completeRevision, revision));
	}

	/**
	 * Remove the tombstones that have reached a certain age. A process that lagged for
	 * longer learns of the deletions from a full listing.
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
		boolean deletedBefore = record.isFromObjectApi() && record.version() <= this.completeRevision;
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
		if (record.isFromObjectApi()) {
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
		InForce readable = this.inForce.get(record.key());
		long readableVersion = (readable != null) ? readable.version : 0;
		UnreadableRecord earlier = this.unreadable.get(record.key());
		long since = (earlier != null) ? earlier.sinceVersion : record.version();
		this.unreadable.put(record.key(),
				new UnreadableRecord(record.key(), record.version(), since, readableVersion, problems));
		EventLog.log(RecordEvent.RECORD_UNREADABLE, record.key(), record.version(), readableVersion, problems);
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
	 * List the held versions that are newer than a revision, including tombstones.
	 * @param revision the revision, 0 for all
	 * @return the versions in ascending order, without the VM list unless revision is 0
	 */
	public List<HeldRecord> heldAfter(long revision) {
		return this.held.values()
			.stream()
			.filter((record) -> (revision == 0) || (record.isFromObjectApi() && record.version() > revision))
			.sorted(Comparator.comparingLong(HeldRecord::version))
			.toList();
	}

	/**
	 * Find the held version of a record, readable or not.
	 * @param key the identity
	 * @return the held version, or empty if there is none
	 */
	public Optional<HeldRecord> held(RecordKey key) {
		return Optional.ofNullable(this.held.get(key));
	}

	/**
	 * Return a consistent snapshot of the table for a digest or an update.
	 * @param after the revision after which versions are included, 0 for all, -1 for none
	 * @return the snapshot
	 */
	public Snapshot snapshot(long after) {
		return this.lock
			.get(() -> new Snapshot(this.completeRevision, this.hash, (after < 0) ? List.of() : heldAfter(after)));
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
	 * Return a digest of the live records held, without the VM list: tables with the same
	 * digest hold the same versions of these records.
	 * @return the digest
	 */
	public long hash() {
		return this.hash;
	}

	/**
	 * List the records that are held but cannot be read.
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
	 * Content of a table at one point in time.
	 *
	 * @param revision the revision up to which it is complete
	 * @param hash the digest of the live records
	 * @param records the requested versions
	 */
	public record Snapshot(long revision, long hash, List<HeldRecord> records) {
	}

	/**
	 * A record that this process holds but cannot read.
	 *
	 * @param key the identity
	 * @param version the held version, which cannot be read
	 * @param sinceVersion the first version that could not be read, at most
	 * {@code version}
	 * @param inForceVersion the version that stays in force, 0 for none
	 * @param problems why it cannot be read
	 */
	public record UnreadableRecord(RecordKey key, long version, long sinceVersion, long inForceVersion,
			List<RecordProblem> problems) {
	}

	private record InForce(long version, JsonNode value, Object spec) {
	}

}
