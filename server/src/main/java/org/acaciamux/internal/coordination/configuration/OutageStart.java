package org.acaciamux.internal.coordination.configuration;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.event.EventLog;
import org.acaciamux.internal.protocol.wire.ConfigUpdate;
import org.acaciamux.internal.state.record.RecordTable;

/**
 * Decides when a starting process that cannot read the platform becomes ready. It does so
 * when a peer gave it records that the platform confirmed recently. Otherwise the
 * platform is down: the process compares with all known peers and waits until at least
 * half of them have answered and it holds all records that any of them held, because a
 * version that was in force everywhere is then among the answers. Guarded by the serial
 * tasks of {@link ConfigurationSync}.
 */
final class OutageStart {

	/**
	 * Most peers asked in one step, so that a start does not open thousands of links at
	 * once.
	 */
	private static final int MAX_PEERS_PER_STEP = 64;

	/** Time between two steps. */
	private static final long STEP_MS = 500;

	/** Time after which a peer that has answered is asked again. */
	private static final long ASK_AGAIN_MS = 10_000;

	private final SyncState state;

	private final PeerSync peers;

	private final Map<String, Answer> answers = new HashMap<>();

	private final Set<Answer> coveredByListing = new HashSet<>();

	private final Map<String, Long> askedAtMs = new HashMap<>();

	private long nextStepMs;

	private boolean reported;

	OutageStart(SyncState state, PeerSync peers) {
		this.state = state;
		this.peers = peers;
	}

	/**
	 * Ask the peers that are due. Called while the process is not ready.
	 */
	void tick() {
		long now = this.state.nowMs();
		if (this.state.runningMs() < this.state.settings().startGraceMs() || now < this.nextStepMs) {
			return;
		}
		this.nextStepMs = now + STEP_MS;
		List<Member> known = this.state.knownPeers();
		known.stream()
			.filter((peer) -> !this.peers.failedRecently(peer.id()))
			.filter((peer) -> isDue(peer.id(), now))
			.limit(MAX_PEERS_PER_STEP)
			.forEach((peer) -> {
				this.askedAtMs.put(peer.id(), now);
				this.peers.compareWith(peer);
			});
		decideReadiness(known);
	}

	private boolean isDue(String peer, long now) {
		Answer answer = this.answers.get(peer);
		long pauseMs = (answer == null || !isCovered(answer)) ? this.state.settings().digestIntervalMs() : ASK_AGAIN_MS;
		return now - this.askedAtMs.getOrDefault(peer, Long.MIN_VALUE / 2) >= pauseMs;
	}

	/**
	 * Note the answer of a peer, and become ready if its records are confirmed and held.
	 * @param peer the peer's id
	 * @param update the answer
	 */
	void handleAnswer(String peer, ConfigUpdate update) {
		if (this.state.ready()) {
			this.answers.clear();
			this.coveredByListing.clear();
			this.askedAtMs.clear();
			return;
		}
		Answer answer = new Answer(update.getRevision(), update.getHash());
		this.answers.put(peer, answer);
		if (update.getFull()) {
			this.coveredByListing.add(answer);
		}
		boolean fresh = this.state.confirmedAgeMs() <= this.state.settings().freshMs();
		if (fresh && isCovered(answer)) {
			this.state.becomeReady("records of " + peer + ", confirmed by the platform");
		}
	}

	// The table covers an answer if it holds the same records, if a full listing with the
	// answer's revision and hash was applied, or if it is complete up to a higher
	// revision.
	private boolean isCovered(Answer answer) {
		RecordTable table = this.state.parts().records();
		return table.hash() == answer.hash || this.coveredByListing.contains(answer)
				|| table.completeRevision() > answer.revision;
	}

	private void decideReadiness(List<Member> known) {
		long answered = known.stream().filter((peer) -> this.answers.containsKey(peer.id())).count();
		int needed = Math.max(1, (known.size() + 1) / 2);
		boolean allCovered = this.answers.values().stream().allMatch(this::isCovered);
		if (answered >= needed && allCovered) {
			this.state.becomeReady(answered + " of " + known.size() + " known peers, platform down");
		}
		else if (!this.reported) {
			this.reported = true;
			EventLog.log(ConfigurationEvent.CONFIGURATION_WAITING, answered, known.size(), needed);
		}
	}

	private record Answer(long revision, long hash) {
	}

}
