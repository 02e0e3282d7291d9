package org.acaciamux.internal.coordination.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import io.vavr.control.Either;

import org.acaciamux.Failure;
import org.acaciamux.internal.coordination.membership.ControlTraffic;
import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.coordination.platform.VmDirectory.VmList;
import org.acaciamux.internal.event.EventLog;
import org.acaciamux.internal.protocol.PeerLink;
import org.acaciamux.internal.protocol.wire.Frame;
import org.acaciamux.internal.state.SerialTasks;
import org.acaciamux.internal.state.record.HeldRecord;
import org.acaciamux.internal.state.record.RecordKey;
import org.acaciamux.internal.state.record.RecordKinds;

/**
 * State that the parts of {@link ConfigurationSync} share. Invariants: once ready, a
 * process stays ready; the time of the last confirmation never decreases. Guarded by its
 * serial tasks, except for {@link #ready()}.
 */
final class SyncState {

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final ConfigurationSettings settings;

	private final ConfigurationParts parts;

	private final SerialTasks tasks;

	private final ControlTraffic traffic;

	private final long startedAtMs;

	private BiConsumer<Collection<HeldRecord>, String> onApplied = (records, source) -> {
	};

	private long confirmedAtMs = NEVER;

	private volatile boolean ready;

	SyncState(ConfigurationSettings settings, ConfigurationParts parts, SerialTasks tasks) {
		this.settings = settings;
		this.parts = parts;
		this.tasks = tasks;
		this.traffic = new ControlTraffic(parts.metrics(), "acaciamux.configuration.sentBytes");
		this.startedAtMs = nowMs();
	}

	ConfigurationSettings settings() {
		return this.settings;
	}

	ConfigurationParts parts() {
		return this.parts;
	}

	Member self() {
		return this.settings.self();
	}

	SerialTasks tasks() {
		return this.tasks;
	}

	long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.parts.clock().nanoTime());
	}

	long runningMs() {
		return nowMs() - this.startedAtMs;
	}

	/**
	 * Vary an interval by up to a quarter, so that processes started together do not call
	 * at the same time.
	 * @param intervalMs the interval
	 * @return 75% to 125% of it
	 */
	long withJitter(long intervalMs) {
		return intervalMs * 3 / 4 + this.parts.random().nextLong(intervalMs / 2 + 1);
	}

	void onApplied(BiConsumer<Collection<HeldRecord>, String> action) {
		this.onApplied = action;
	}

	/**
	 * Apply records and pass those that were new to the action for applied records.
	 * @param records the records
	 * @param source the id of the peer that gave them, empty for the platform
	 */
	void apply(Collection<HeldRecord> records, String source) {
		afterApply(this.parts.records().apply(records, nowMs()), source);
	}

	void applyListing(Collection<String> kinds, Collection<HeldRecord> records, Set<RecordKey> listed, long revision,
			String source) {
		afterApply(this.parts.records().applyListing(kinds::contains, records, listed, revision, nowMs()), source);
	}

	private void afterApply(List<HeldRecord> records, String source) {
		if (records.isEmpty()) {
			return;
		}
		EventLog.log(ConfigurationEvent.RECORDS_APPLIED, records.size(), source.isEmpty() ? "platform" : source,
				this.parts.records().revision());
		records.stream().filter((record) -> RecordKinds.VM_LIST.equals(record.key().kind())).forEach(this::applyVmList);
		this.onApplied.accept(records, source);
	}

	private void applyVmList(HeldRecord record) {
		String region = record.key().name();
		VmListCodec.decode(record.value())
			.ifPresentOrElse((vms) -> this.parts.members().vmList(region, new VmList(record.version(), vms)),
					() -> EventLog.log(ConfigurationEvent.VM_LIST_MALFORMED, region, "not an array of VMs"));
	}

	void noteConfirmation(long ageMs) {
		this.confirmedAtMs = Math.max(this.confirmedAtMs, nowMs() - ageMs);
	}

	long confirmedAgeMs() {
		return Math.min(nowMs() - this.confirmedAtMs, Integer.MAX_VALUE);
	}

	boolean ready() {
		return this.ready;
	}

	void becomeReady(String reason) {
		if (!this.ready) {
			this.ready = true;
			EventLog.log(ConfigurationEvent.CONFIGURATION_READY, this.parts.records().revision(), runningMs(), reason);
		}
	}

	/**
	 * Return the other processes that this one knows.
	 * @return the members that are not gone, and the seeds that are not listed
	 */
	List<Member> knownPeers() {
		List<Member> peers = new ArrayList<>(this.parts.members().all());
		this.settings.seeds()
			.stream()
			.filter((seed) -> this.parts.members().find(seed.id()).isEmpty())
			.forEach(peers::add);
		peers.removeIf((peer) -> peer.id().equals(self().id()));
		return peers;
	}

	void send(PeerLink link, Frame frame) {
		if (link.isOpen() && link.isWritable()) {
			this.traffic.send(link, frame);
		}
	}

	void send(Member member, Frame frame, Consumer<Failure> onFailure) {
		this.parts.links().link(member).thenAccept((link) -> this.tasks.post(() -> sendOver(link, frame, onFailure)));
	}

	private void sendOver(Either<Failure, PeerLink> link, Frame frame, Consumer<Failure> onFailure) {
		if (link.isLeft()) {
			onFailure.accept(link.getLeft());
			return;
		}
		send(link.get(), frame);
	}

}
