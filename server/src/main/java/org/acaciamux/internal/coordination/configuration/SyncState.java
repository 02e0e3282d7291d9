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
 * What the steps of the spread share. Invariants: once ready, a process stays ready; the
 * time of confirmation never goes back. Guarded by the serial tasks of
 * {@link ConfigurationSync}, except for {@link #ready()}.
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
	 * Vary an interval by a quarter, so that processes started together drift apart.
	 * @param intervalMs the interval
	 * @return 75% to 125% of it
	 */
	long jittered(long intervalMs) {
		return intervalMs * 3 / 4 + this.parts.random().nextLong(intervalMs / 2 + 1);
	}

	void onApplied(BiConsumer<Collection<HeldRecord>, String> action) {
		this.onApplied = action;
	}

	/**
	 * Take over records and tell the next step which ones were new.
	 * @param records the records
	 * @param source the id of the peer that gave them, empty for the platform
	 */
	void apply(Collection<HeldRecord> records, String source) {
		applied(this.parts.records().apply(records, nowMs()), source);
	}

	void applyListing(Collection<String> kinds, Collection<HeldRecord> records, Set<RecordKey> listed, long revision,
			String source) {
		applied(this.parts.records().applyListing(kinds::contains, records, listed, revision, nowMs()), source);
	}

	private void applied(List<HeldRecord> records, String source) {
		if (records.isEmpty()) {
			return;
		}
		EventLog.log(ConfigurationEvent.RECORDS_APPLIED, records.size(), source.isEmpty() ? "platform" : source,
				this.parts.records().revision());
		records.stream().filter((record) -> RecordKinds.VM_LIST.equals(record.key().kind())).forEach(this::takeOverVms);
		this.onApplied.accept(records, source);
	}

	private void takeOverVms(HeldRecord record) {
		String region = record.key().name();
		VmListCodec.decode(record.value())
			.ifPresentOrElse((vms) -> this.parts.members().vmList(region, new VmList(record.version(), vms)),
					() -> EventLog.log(ConfigurationEvent.VM_LIST_MALFORMED, region, "not an array of VMs"));
	}

	void confirmed(long ageMs) {
		this.confirmedAtMs = Math.max(this.confirmedAtMs, nowMs() - ageMs);
	}

	long confirmedAgeMs() {
		return Math.min(nowMs() - this.confirmedAtMs, Integer.MAX_VALUE);
	}

	boolean ready() {
		return this.ready;
	}

	void becomeReady(String why) {
		if (!this.ready) {
			this.ready = true;
			EventLog.log(ConfigurationEvent.CONFIGURATION_READY, this.parts.records().revision(), runningMs(), why);
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
