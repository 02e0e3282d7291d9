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
 * Decides when a process that starts may work. It may when a peer gave it records that
 * the platform confirmed lately. Otherwise the platform is down: the process asks all
 * known peers and waits until at least half of them have answered and it holds everything
 * that any of them held, because a version that was in force everywhere is then among the
 * answers. Guarded by the serial tasks of {@link ConfigurationSync}.
 */
final class OutageStart {

	/**
	 * Peers asked in one step, so that a start does not open thousands of links at once.
	 */
	private static final int BATCH = 64;

	/** Time between two steps. */
	private static final long STEP_MS = 500;

	/** Time after which a peer that has answered is asked again. */
	private static final long ASK_AGAIN_MS = 10_000;

	private final SyncState state;

	private final PeerSync peers;

	private final Map<String, Answer> answers = new HashMap<>();

	private final Set<Answer> taken = new HashSet<>();

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
			.filter((peer) -> !this.peers.failedLately(peer.id()))
			.filter((peer) -> due(peer.id(), now))
			.limit(BATCH)
			.forEach((peer) -> {
				this.askedAtMs.put(peer.id(), now);
				this.peers.ask(peer);
			});
		decide(known);
	}

	private boolean due(String peer, long now) {
		Answer answer = this.answers.get(peer);
		long pauseMs = (answer == null || !covered(answer)) ? this.state.settings().digestIntervalMs() : ASK_AGAIN_MS;
		return now - this.askedAtMs.getOrDefault(peer, Long.MIN_VALUE / 2) >= pauseMs;
	}

	/**
	 * Take over the answer of a peer.
	 * @param peer the peer's id
	 * @param update the answer
	 */
	void answered(String peer, ConfigUpdate update) {
		if (this.state.ready()) {
			this.answers.clear();
			this.taken.clear();
			this.askedAtMs.clear();
			return;
		}
		Answer answer = new Answer(update.getRevision(), update.getHash());
		this.answers.put(peer, answer);
		if (update.getFull()) {
			this.taken.add(answer);
		}
		boolean fresh = this.state.confirmedAgeMs() <= this.state.settings().freshMs();
		if (fresh && covered(answer)) {
			this.state.becomeReady("records of " + peer + ", confirmed by the platform");
		}
	}

	// The table covers an answer if it holds the same records, has taken over a full
	// listing of them, or is complete up to a higher revision.
	private boolean covered(Answer answer) {
		RecordTable table = this.state.parts().records();
		return table.hash() == answer.hash || this.taken.contains(answer) || table.completeRevision() > answer.revision;
	}

	private void decide(List<Member> known) {
		long answered = known.stream().filter((peer) -> this.answers.containsKey(peer.id())).count();
		int needed = Math.max(1, (known.size() + 1) / 2);
		boolean all = this.answers.values().stream().allMatch(this::covered);
		if (answered >= needed && all) {
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
