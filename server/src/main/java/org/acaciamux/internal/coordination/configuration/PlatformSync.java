package org.acaciamux.internal.coordination.configuration;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import com.codahale.metrics.Meter;
import io.vavr.control.Either;

import org.acaciamux.internal.coordination.platform.ObjectStore.Changes;
import org.acaciamux.internal.coordination.platform.ObjectStore.Listing;
import org.acaciamux.internal.coordination.platform.StoreFailure;
import org.acaciamux.internal.coordination.platform.StoredObject;
import org.acaciamux.internal.coordination.platform.VmDirectory.VmEntry;
import org.acaciamux.internal.coordination.platform.VmDirectory.VmList;
import org.acaciamux.internal.event.EventLog;
import org.acaciamux.internal.state.record.HeldRecord;
import org.acaciamux.internal.state.record.RecordKey;
import org.acaciamux.internal.state.record.RecordKinds;
import org.acaciamux.internal.state.record.RecordTable;

/**
 * Reads records and the VM list from the platform: watches while this process is a
 * watcher, and lists when there is no revision to watch from. Invariant: at most one
 * watch or round of lists and one read of the VM list are outstanding. Guarded by the
 * serial tasks of {@link ConfigurationSync}.
 */
final class PlatformSync {

	/**
	 * Longest pause, before jitter, between two calls to a platform that does not answer.
	 */
	private static final long MAX_BACKOFF_MS = 4_000;

	private static final long MIN_BACKOFF_MS = 500;

	/**
	 * Shortest time between the starts of two watches; bounds the call rate while writes
	 * are frequent.
	 */
	private static final long MIN_WATCH_MS = 100;

	/**
	 * Time over which the first VM list reads of processes started together are spread.
	 */
	private static final long START_SPREAD_MS = 2_000;

	private final SyncState state;

	private final Meter calls;

	private final Map<String, Listing> listings = new HashMap<>();

	private boolean watching;

	private boolean outstanding;

	private boolean listRequired;

	private boolean listedOnce;

	private boolean lost;

	private long backoffMs = MIN_BACKOFF_MS;

	private long nextCallMs;

	private long watchStartedMs = Long.MIN_VALUE / 2;

	private boolean vmsOutstanding;

	private long nextVmsMs;

	PlatformSync(SyncState state) {
		this.state = state;
		this.calls = state.parts().metrics().meter("acaciamux.configuration.platformCalls");
		this.nextVmsMs = state.nowMs() + state.parts().random().nextLong(START_SPREAD_MS);
	}

	/**
	 * Start the calls that are due.
	 * @param watcher whether this process watches at present
	 */
	void tick(boolean watcher) {
		this.watching = watcher;
		long now = this.state.nowMs();
		if (watcher && !this.outstanding && now >= this.nextCallMs) {
			startNextCall();
		}
		boolean needsVms = watcher || (!this.state.ready() && this.state.parts().members().all().isEmpty());
		if (needsVms && !this.vmsOutstanding && now >= this.nextVmsMs) {
			readVms();
		}
	}

	/**
	 * List all records once although this process is not a watcher, because no peer has
	 * made it ready.
	 */
	void listOnce() {
		if (!this.outstanding && this.state.nowMs() >= this.nextCallMs) {
			listAll();
		}
	}

	private void startNextCall() {
		if (this.listRequired || (!this.listedOnce && table().completeRevision() == 0)) {
			listAll();
		}
		else {
			watch();
		}
	}

	private RecordTable table() {
		return this.state.parts().records();
	}

	private void listAll() {
		this.outstanding = true;
		this.listings.clear();
		list(0);
	}

	private void list(int index) {
		String kind = RecordKinds.WATCHED.get(index);
		this.calls.mark();
		this.state.parts()
			.store()
			.list(kind)
			.thenAccept((result) -> post("list " + kind, () -> onListed(index, kind, result)));
	}

	// A result that cannot be applied must not leave the call outstanding for good.
	private void post(String call, Runnable handler) {
		this.state.tasks().post(() -> {
			try {
				handler.run();
			}
			catch (RuntimeException | Error ex) {
				onFailure(call, new StoreFailure(StoreFailure.Kind.NO_ANSWER,
						"The answer of the platform cannot be applied: " + ex, Optional.empty()));
				throw ex;
			}
		});
	}

	private void onListed(int index, String kind, Either<StoreFailure, Listing> result) {
		if (result.isLeft()) {
			onFailure("list " + kind, result.getLeft());
			return;
		}
		this.listings.put(kind, result.get());
		if (index + 1 < RecordKinds.WATCHED.size()) {
			list(index + 1);
			return;
		}
		applyListings();
	}

	private void applyListings() {
		long revision = Long.MAX_VALUE;
		for (Map.Entry<String, Listing> entry : this.listings.entrySet()) {
			Listing listing = entry.getValue();
			List<HeldRecord> records = listing.items().stream().map(PlatformSync::record).toList();
			Set<RecordKey> listed = new HashSet<>();
			records.forEach((record) -> listed.add(record.key()));
			this.state.applyListing(List.of(entry.getKey()), records, listed, listing.revision(), "");
			revision = Math.min(revision, listing.revision());
		}
		this.listRequired = false;
		this.listedOnce = true;
		onSuccess(revision);
	}

	private static HeldRecord record(StoredObject object) {
		return HeldRecord.of(object.kind(), object.name(), object.version(), object.value());
	}

	private void watch() {
		this.outstanding = true;
		this.watchStartedMs = this.state.nowMs();
		this.calls.mark();
		long after = table().completeRevision();
		this.state.parts()
			.store()
			.watch(Set.copyOf(RecordKinds.WATCHED), after, this.state.settings().watchTimeoutMs())
			.thenAccept((result) -> post("watch", () -> onWatched(after, result)));
	}

	private void onWatched(long after, Either<StoreFailure, Changes> result) {
		if (result.isLeft() && result.getLeft().kind() == StoreFailure.Kind.COMPACTED) {
			EventLog.log(ConfigurationEvent.WATCH_COMPACTED, after);
			this.listRequired = true;
			this.outstanding = false;
			return;
		}
		if (result.isLeft()) {
			onFailure("watch", result.getLeft());
			return;
		}
		this.state.apply(result.get()
			.changes()
			.stream()
			.map((change) -> change.deleted() ? HeldRecord
				.tombstone(new RecordKey(change.object().kind(), change.object().name()), change.object().version())
					: record(change.object()))
			.toList(), "");
		onSuccess(result.get().revision());
	}

	private void onSuccess(long revision) {
		this.outstanding = false;
		this.backoffMs = MIN_BACKOFF_MS;
		this.nextCallMs = this.watchStartedMs + MIN_WATCH_MS;
		table().completeThrough(revision);
		this.state.noteConfirmation(0);
		this.state.becomeReady("records read from the platform");
		if (this.lost) {
			this.lost = false;
			EventLog.log(ConfigurationEvent.PLATFORM_BACK, revision);
		}
		if (this.watching && this.state.nowMs() >= this.nextCallMs) {
			startNextCall();
		}
	}

	private void onFailure(String call, StoreFailure failure) {
		this.outstanding = false;
		this.nextCallMs = this.state.nowMs() + this.state.withJitter(this.backoffMs);
		this.backoffMs = Math.min(this.backoffMs * 2, MAX_BACKOFF_MS);
		if (!this.lost) {
			this.lost = true;
			EventLog.log(ConfigurationEvent.PLATFORM_LOST, call, failure.detail());
		}
	}

	private void readVms() {
		this.vmsOutstanding = true;
		this.calls.mark();
		this.state.parts().vms().list().thenAccept((result) -> this.state.tasks().post(() -> onVmsRead(result)));
	}

	private void onVmsRead(Either<StoreFailure, VmList> result) {
		this.vmsOutstanding = false;
		this.nextVmsMs = this.state.nowMs() + this.state.withJitter(this.state.settings().vmListIntervalMs());
		result.peek(this::applyVms);
	}

	private void applyVms(VmList list) {
		Map<String, List<VmEntry>> regions = new TreeMap<>();
		table().heldAfter(0)
			.stream()
			.filter((held) -> !held.isFromObjectApi())
			.forEach((held) -> regions.put(held.key().name(), List.of()));
		list.vms()
			.stream()
			.map(VmEntry::region)
			.distinct()
			.forEach((region) -> regions.put(region,
					list.vms().stream().filter((vm) -> vm.region().equals(region)).toList()));
		regions.forEach((region, vms) -> applyRegion(region, list.revision(), vms));
	}

	private void applyRegion(String region, long revision, List<VmEntry> vms) {
		HeldRecord record = HeldRecord.of(RecordKinds.VM_LIST, region, revision, VmListCodec.encode(vms));
		Optional<HeldRecord> held = table().held(record.key());
		if (held.isEmpty() || !held.get().value().equals(record.value())) {
			this.state.apply(List.of(record), "");
		}
	}

	boolean lost() {
		return this.lost;
	}

}
