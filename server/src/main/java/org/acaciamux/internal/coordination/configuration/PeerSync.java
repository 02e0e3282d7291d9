package org.acaciamux.internal.coordination.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;

import com.codahale.metrics.Counter;

import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.event.EventLog;
import org.acaciamux.internal.protocol.PeerLink;
import org.acaciamux.internal.protocol.wire.ConfigDigest;
import org.acaciamux.internal.protocol.wire.ConfigPull;
import org.acaciamux.internal.protocol.wire.ConfigUpdate;
import org.acaciamux.internal.protocol.wire.Frame;
import org.acaciamux.internal.protocol.wire.RecordVersion;
import org.acaciamux.internal.state.record.HeldRecord;
import org.acaciamux.internal.state.record.RecordKey;
import org.acaciamux.internal.state.record.RecordKinds;
import org.acaciamux.internal.state.record.RecordTable;

/**
 * Exchanges records with other processes. A digest is always a request and an update
 * always an answer or a push, so two processes that compare with each other cannot send
 * frames back and forth forever. A process that sent a digest within the last few seconds
 * is a child and gets changes pushed. Invariants: this process sends its records only
 * while it is ready; it regards itself as complete up to a revision only when its hash
 * equals the peer's or after a full listing, so a push that arrives after a lost one
 * leaves no undetected gap. Guarded by the serial tasks of {@link ConfigurationSync}.
 */
final class PeerSync {

	/**
	 * Digest intervals after which a child that sends no more digests gets no more
	 * pushes.
	 */
	private static final int CHILD_INTERVALS = 4;

	/** Longest pause between two full pulls from a peer whose records keep differing. */
	private static final long MAX_PULL_PAUSE_MS = 60_000;

	/** Requests a snapshot that has only the revision and the hash. */
	private static final long WITHOUT_RECORDS = -1;

	private final SyncState state;

	private final Map<String, Child> children = new HashMap<>();

	private final Map<String, Long> digestSentAtMs = new HashMap<>();

	private final Map<String, Long> failedUntilMs = new HashMap<>();

	private final Map<String, Pull> pulls = new HashMap<>();

	private final List<Change> toPush = new ArrayList<>();

	private final Counter pullCount;

	private BiConsumer<String, ConfigUpdate> onUpdate = (peer, update) -> {
	};

	PeerSync(SyncState state) {
		this.state = state;
		this.pullCount = state.parts().metrics().counter("acaciamux.configuration.pulls");
	}

	void onUpdate(BiConsumer<String, ConfigUpdate> action) {
		this.onUpdate = action;
	}

	/**
	 * Queue records that came into force for the next push to the children.
	 * @param records the records
	 * @param source the id of the peer that gave them, empty for the platform
	 */
	void enqueuePush(Collection<HeldRecord> records, String source) {
		records.forEach((record) -> this.toPush.add(new Change(record, source)));
	}

	/**
	 * Push queued changes, and mark peers that did not answer in time as failed.
	 */
	void tick() {
		long now = this.state.nowMs();
		long keepMs = CHILD_INTERVALS * this.state.settings().digestIntervalMs();
		this.children.values().removeIf((child) -> now - child.lastDigestMs > keepMs || !child.link.isOpen());
		push();
		List<String> silent = this.digestSentAtMs.entrySet()
			.stream()
			.filter((asked) -> now - asked.getValue() >= this.state.settings().answerTimeoutMs())
			.map(Map.Entry::getKey)
			.toList();
		silent.forEach((peer) -> onFailure(peer, "no answer"));
		this.failedUntilMs.values().removeIf((until) -> now >= until);
		this.pulls.values().removeIf((pull) -> now - pull.atMs > 2 * MAX_PULL_PAUSE_MS);
	}

	private void push() {
		if (this.toPush.isEmpty() || !this.state.ready()) {
			return;
		}
		List<Change> changes = List.copyOf(this.toPush);
		this.toPush.clear();
		for (Map.Entry<String, Child> child : this.children.entrySet()) {
			List<HeldRecord> records = changes.stream()
				.filter((change) -> !change.source.equals(child.getKey()))
				.map(Change::record)
				.toList();
			if (!records.isEmpty()) {
				sendUpdates(child.getValue().link, snapshot(records), false);
			}
		}
	}

	private RecordTable.Snapshot snapshot(List<HeldRecord> records) {
		RecordTable.Snapshot current = table().snapshot(WITHOUT_RECORDS);
		return new RecordTable.Snapshot(current.revision(), current.hash(), records);
	}

	private void sendUpdates(PeerLink link, RecordTable.Snapshot snapshot, boolean full) {
		RecordFrames.updates(snapshot, full, this.state.confirmedAgeMs())
			.forEach((update) -> this.state.send(link, Frame.newBuilder().setConfigUpdate(update).build()));
	}

	/**
	 * Send a digest of the records to a peer, which answers with an update.
	 * @param peer the peer
	 */
	void compareWith(Member peer) {
		RecordTable.Snapshot snapshot = table().snapshot(WITHOUT_RECORDS);
		ConfigDigest digest = ConfigDigest.newBuilder()
			.setRevision(snapshot.revision())
			.setHash(snapshot.hash())
			.setFailureDomain(this.state.self().failureDomain())
			.setConfirmedAgeMs((int) this.state.confirmedAgeMs())
			.build();
		this.digestSentAtMs.putIfAbsent(peer.id(), this.state.nowMs());
		this.state.send(peer, Frame.newBuilder().setConfigDigest(digest).build(), (failure) -> {
			this.state.parts().members().unreachable(peer.id());
			onFailure(peer.id(), failure.detail());
		});
	}

	private void onFailure(String peer, String reason) {
		if (this.digestSentAtMs.remove(peer) == null) {
			return;
		}
		long retryMs = this.state.settings().peerRetryMs();
		this.failedUntilMs.put(peer, this.state.nowMs() + retryMs);
		EventLog.log(ConfigurationEvent.PARENT_FAILED, peer, reason, retryMs);
	}

	boolean failedRecently(String peer) {
		return this.failedUntilMs.containsKey(peer);
	}

	/**
	 * Choose the first of several peers that has not failed recently.
	 * @param peers the peers, best first
	 * @return the peer, or empty if all failed
	 */
	Optional<Member> firstUsable(List<Member> peers) {
		return peers.stream().filter((peer) -> !failedRecently(peer.id())).findFirst();
	}

	void handleDigest(PeerLink link, ConfigDigest digest) {
		String peer = link.peer().id();
		this.children.put(peer, new Child(link, this.state.nowMs()));
		if (!this.state.ready()) {
			return;
		}
		RecordTable.Snapshot own = table().snapshot(WITHOUT_RECORDS);
		ConfigUpdate.Builder answer = RecordFrames.updateHeader(own, this.state.confirmedAgeMs());
		announcedVms().forEach(answer::addRecords);
		this.state.send(link, Frame.newBuilder().setConfigUpdate(answer).build());
		if (digest.getRevision() >= own.revision() && digest.getHash() != own.hash()) {
			pull(link);
		}
	}

	private List<RecordVersion> announcedVms() {
		return table().heldAfter(0)
			.stream()
			.filter((held) -> !held.isFromObjectApi())
			.map(RecordFrames::announcement)
			.toList();
	}

	void handlePull(PeerLink link, ConfigPull pull) {
		if (!this.state.ready()) {
			return;
		}
		RecordTable.Snapshot snapshot = table().snapshot(pull.getFull() ? 0 : pull.getAfterRevision());
		sendUpdates(link, snapshot, pull.getFull());
	}

	void handleUpdate(PeerLink link, ConfigUpdate update) {
		String peer = link.peer().id();
		this.digestSentAtMs.remove(peer);
		this.failedUntilMs.remove(peer);
		this.state.parts().members().heardFrom(peer, link.peer().incarnation());
		List<HeldRecord> records = RecordFrames.records(update.getRecordsList());
		if (update.getFull()) {
			this.state.applyListing(RecordKinds.WATCHED, records, RecordFrames.keys(update.getRecordsList()),
					update.getRevision(), peer);
		}
		this.state.apply(records, peer);
		boolean sameHash = table().hash() == update.getHash();
		boolean anyMissing = update.getRecordsList().stream().anyMatch(this::isMissing);
		if (sameHash || (update.getFull() && !anyMissing)) {
			table().completeThrough(update.getRevision());
			this.state.noteConfirmation(Integer.toUnsignedLong(update.getConfirmedAgeMs()));
		}
		if (sameHash && !anyMissing) {
			this.pulls.remove(peer);
		}
		else if (anyMissing || update.getRevision() >= table().completeRevision()) {
			pull(link);
		}
		this.onUpdate.accept(peer, update);
	}

	private boolean isMissing(RecordVersion announced) {
		RecordKey key = RecordFrames.key(announced);
		long held = table().held(key).map(HeldRecord::version).orElse(-1L);
		boolean fromObjectApi = !RecordKinds.VM_LIST.equals(key.kind());
		boolean deletedSince = fromObjectApi && held < 0 && announced.getVersion() <= table().completeRevision();
		return held < announced.getVersion() && !deletedSince && !announced.getDeleted();
	}

	// Pulls first the newer versions, and all records if the peer still differs after
	// that. A peer that keeps differing is pulled from at growing intervals.
	private void pull(PeerLink link) {
		String peer = link.peer().id();
		long now = this.state.nowMs();
		Pull last = this.pulls.get(peer);
		if (last != null && now - last.atMs < last.pauseMs) {
			return;
		}
		boolean full = last != null || table().completeRevision() == 0;
		long pauseMs = (last != null) ? Math.min(last.pauseMs * 2, MAX_PULL_PAUSE_MS)
				: this.state.settings().answerTimeoutMs();
		this.pulls.put(peer, new Pull(now, pauseMs));
		this.pullCount.inc();
		ConfigPull pull = ConfigPull.newBuilder().setAfterRevision(table().completeRevision()).setFull(full).build();
		this.state.send(link, Frame.newBuilder().setConfigPull(pull).build());
	}

	private RecordTable table() {
		return this.state.parts().records();
	}

	int children() {
		return this.children.size();
	}

	private record Child(PeerLink link, long lastDigestMs) {
	}

	private record Change(HeldRecord record, String source) {
	}

	private record Pull(long atMs, long pauseMs) {
	}

}
