package org.acaciamux.internal.coordination.configuration;

import com.codahale.metrics.Meter;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;

import org.acaciamux.internal.coordination.platform.ObjectStore;
import org.acaciamux.internal.coordination.platform.StoreFailure;
import org.acaciamux.internal.coordination.platform.StoredObject;
import org.acaciamux.internal.event.EventLog;
import org.acaciamux.internal.protocol.wire.FleetReport;

/**
 * Writes the status of a failure domain as the object {@code FleetStatus/<domain>}.
 * Invariants: one call at a time; writes are at least the status interval apart; after a
 * write whose answer was lost the object is read again before the next write, so that no
 * writer overwrites the status of another one without having read it. Guarded by the
 * serial tasks of {@link ConfigurationSync}.
 */
final class FleetStatusWriter {

	/** Kind of the status objects. */
	static final String KIND = "FleetStatus";

	/**
	 * Time after which an unchanged status is written again to show that it is current.
	 */
	private static final long REWRITE_UNCHANGED_MS = 4_000;

	private static final long UNKNOWN_VERSION = -1;

	private final SyncState state;

	private final Meter calls;

	private boolean outstanding;

	private long version = UNKNOWN_VERSION;

	private long lastWriteMs = Long.MIN_VALUE / 2;

	private FleetReport written = FleetReport.getDefaultInstance();

	FleetStatusWriter(SyncState state) {
		this.state = state;
		this.calls = state.parts().metrics().meter("acaciamux.configuration.statusCalls");
	}

	/**
	 * Write the status if it is due.
	 * @param report the status of the failure domain
	 */
	void tick(FleetReport report) {
		long sinceMs = this.state.nowMs() - this.lastWriteMs;
		boolean due = sinceMs >= REWRITE_UNCHANGED_MS
				|| (sinceMs >= this.state.settings().statusIntervalMs() && !report.equals(this.written));
		if (this.outstanding || !due) {
			return;
		}
		this.outstanding = true;
		this.lastWriteMs = this.state.nowMs();
		if (this.version == UNKNOWN_VERSION) {
			read(report);
		}
		else {
			write(report);
		}
	}

	private ObjectStore store() {
		return this.state.parts().store();
	}

	private void read(FleetReport report) {
		this.calls.mark();
		store().get(KIND, report.getFailureDomain())
			.thenAccept((result) -> this.state.tasks().post(() -> onRead(result, report)));
	}

	private void onRead(Either<StoreFailure, StoredObject> result, FleetReport report) {
		if (result.isLeft() && result.getLeft().kind() != StoreFailure.Kind.NOT_FOUND) {
			onFailure(report, result.getLeft());
			return;
		}
		this.version = result.isRight() ? result.get().version() : 0;
		write(report);
	}

	private void write(FleetReport report) {
		this.calls.mark();
		store().put(KIND, report.getFailureDomain(), this.version, value(report))
			.thenAccept((result) -> this.state.tasks().post(() -> onWritten(result, report)));
	}

	private void onWritten(Either<StoreFailure, StoredObject> result, FleetReport report) {
		if (result.isLeft()) {
			onFailure(report, result.getLeft());
			return;
		}
		this.outstanding = false;
		this.version = result.get().version();
		this.written = report;
	}

	private void onFailure(FleetReport report, StoreFailure failure) {
		this.outstanding = false;
		this.version = failure.current().map(StoredObject::version).orElse(UNKNOWN_VERSION);
		EventLog.log(ConfigurationEvent.STATUS_NOT_WRITTEN, report.getFailureDomain(), failure.detail());
	}

	private ObjectNode value(FleetReport report) {
		return FleetStatusJson.write(report, this.state.self().id(), this.state.parts().wallClock().time());
	}

}
