package org.acaciamux.internal.coordination.membership;

import java.util.Collection;

import org.acaciamux.internal.event.EventLog;

/**
 * State of this process's own network: whether it is considered lost. Invariant: while
 * some failure domain answers, the own network is not considered lost for longer than
 * {@link MembershipSettings#lossMaxMs()}. Not thread-safe: guarded by the lock of its
 * {@link MemberTable}, except for {@link #lost()}.
 */
final class OwnNetwork {

	private final MembershipSettings settings;

	private volatile boolean lost;

	private long lostAtMs;

	private long othersFailedAtMs = MemberHealth.NEVER;

	OwnNetwork(MembershipSettings settings) {
		this.settings = settings;
	}

	boolean lost() {
		return this.lost;
	}

	/**
	 * Evaluate the evidence.
	 * @param agents the other agents
	 * @param nowMs the time in milliseconds
	 * @return the resulting change of state
	 */
	Change evaluate(Collection<MemberHealth> agents, long nowMs) {
		NetworkLoss.Verdict verdict = NetworkLoss.evaluate(agents, nowMs, this.settings.lossWindowMs());
		if (this.lost) {
			return checkRecovery(verdict, nowMs);
		}
		boolean othersFailedRecently = nowMs - this.othersFailedAtMs <= 2 * this.settings.lossWindowMs();
		if (!verdict.ownNetworkLost() || othersFailedRecently) {
			return Change.NONE;
		}
		this.lost = true;
		this.lostAtMs = nowMs;
		EventLog.log(MembershipEvent.OWN_NETWORK_LOST, verdict.lostDomains());
		return Change.LOST;
	}

	private Change checkRecovery(NetworkLoss.Verdict verdict, long nowMs) {
		long lostForMs = nowMs - this.lostAtMs;
		boolean answered = verdict.answeringDomains() > 0;
		if (answered && !verdict.ownNetworkLost()) {
			this.lost = false;
			EventLog.log(MembershipEvent.OWN_NETWORK_BACK, lostForMs, "members answer again");
			return Change.BACK;
		}
		if (answered && lostForMs >= this.settings.lossMaxMs()) {
			this.lost = false;
			this.othersFailedAtMs = nowMs;
			EventLog.log(MembershipEvent.OWN_NETWORK_BACK, lostForMs,
					"one failure domain answers throughout, so the silent ones have failed");
			return Change.OTHERS_FAILED;
		}
		return Change.NONE;
	}

	/**
	 * Change of state that an evaluation of the evidence led to.
	 */
	enum Change {

		/** No change. */
		NONE,
		/** The own network is lost: suspicions from the window must be reverted. */
		LOST,
		/** The own network is back: losses noted meanwhile must be discarded. */
		BACK,
		/** The others have failed: losses noted meanwhile count. */
		OTHERS_FAILED

	}

}
