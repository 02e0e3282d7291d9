package org.acaciamux.internal.coordination.membership;

import java.util.Collection;

import org.acaciamux.internal.event.EventLog;

/**
 * Remembers whether the own network is considered lost. Invariant: while some failure
 * domain answers, the own network is not considered lost for longer than
 * {@link MembershipSettings#lossMaxMs()}. Not thread-safe: guarded by the lock of its
 * {@link MemberTable}, except for {@link #lost()}.
 */
final class OwnNetwork {

	private final MembershipSettings settings;

	private volatile boolean lost;

	private long lostAtMs;

	private long attributedAtMs = MemberHealth.NEVER;

	OwnNetwork(MembershipSettings settings) {
		this.settings = settings;
	}

	boolean lost() {
		return this.lost;
	}

	/**
	 * Judge the evidence.
	 * @param agents the other agents
	 * @param nowMs the time in milliseconds
	 * @return what changed
	 */
	Change judge(Collection<MemberHealth> agents, long nowMs) {
		NetworkLoss.Verdict verdict = NetworkLoss.judge(agents, nowMs, this.settings.lossWindowMs());
		if (this.lost) {
			return considerReturn(verdict, nowMs);
		}
		boolean justAttributed = nowMs - this.attributedAtMs <= 2 * this.settings.lossWindowMs();
		if (!verdict.ownNetworkLost() || justAttributed) {
			return Change.NONE;
		}
		this.lost = true;
		this.lostAtMs = nowMs;
		EventLog.log(MembershipEvent.OWN_NETWORK_LOST, verdict.dark());
		return Change.LOST;
	}

	private Change considerReturn(NetworkLoss.Verdict verdict, long nowMs) {
		long lostForMs = nowMs - this.lostAtMs;
		boolean answered = verdict.lit() > 0;
		if (answered && !verdict.ownNetworkLost()) {
			this.lost = false;
			EventLog.log(MembershipEvent.OWN_NETWORK_BACK, lostForMs, "members answer again");
			return Change.BACK;
		}
		if (answered && lostForMs >= this.settings.lossMaxMs()) {
			this.lost = false;
			this.attributedAtMs = nowMs;
			EventLog.log(MembershipEvent.OWN_NETWORK_BACK, lostForMs,
					"one failure domain answers throughout, so the silent ones have failed");
			return Change.OTHERS_FAILED;
		}
		return Change.NONE;
	}

	/**
	 * What a judgement changed.
	 */
	enum Change {

		/** Nothing. */
		NONE,
		/** The own network is lost: suspicions of the window are void. */
		LOST,
		/** The own network is back: losses noted meanwhile are void. */
		BACK,
		/** The others have failed: losses noted meanwhile count. */
		OTHERS_FAILED

	}

}
