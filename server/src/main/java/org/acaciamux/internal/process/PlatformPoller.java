package org.acaciamux.internal.process;

import java.util.List;

import org.acaciamux.internal.coordination.platform.ObjectStore.Listing;
import org.acaciamux.internal.coordination.platform.StoredObject;
import org.acaciamux.internal.state.record.HeldRecord;
import org.acaciamux.internal.state.record.RecordKinds;

/**
 * Reads records and the VM list from the platform once a second. Thread-safe.
 */
final class PlatformPoller {

	private final ProcessCore core;

	private volatile boolean configured;

	PlatformPoller(ProcessCore core) {
		this.core = core;
	}

	boolean configured() {
		return this.configured;
	}

	void poll() {
		RecordKinds.WATCHED.forEach((kind) -> this.core.store.list(kind)
			.thenAccept((result) -> result.peek((listing) -> apply(kind, listing))));
		this.core.vms.list().thenAccept((result) -> result.peek((list) -> this.core.members.vmList("all", list)));
	}

	private void apply(String kind, Listing listing) {
		List<HeldRecord> held = listing.items().stream().map(PlatformPoller::held).toList();
		this.core.records.applyListing(kind::equals, held, listing.revision(), this.core.nowMs());
		this.configured = true;
	}

	private static HeldRecord held(StoredObject object) {
		return HeldRecord.of(object.kind(), object.name(), object.version(), object.value());
	}

}
