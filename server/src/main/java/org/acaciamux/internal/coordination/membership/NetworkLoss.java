package org.acaciamux.internal.coordination.membership;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/**
 * Decides whether this process has lost its own network or the other members have failed.
 * A failure domain counts as lost if, among its agents with evidence in the window, more
 * were lost while in use than heard from; agents that were lost earlier do not count, or
 * they would count forever. The own network is lost if more than one failure domain is
 * lost and the lost ones are the majority of those with evidence: when most domains
 * answer over the same network, the silent ones have failed themselves. Holds no state;
 * thread-safe.
 */
final class NetworkLoss {

	private static final int MIN_LOST_AGENTS = 2;

	private NetworkLoss() {
	}

	static Verdict evaluate(Collection<MemberHealth> agents, long nowMs, long windowMs) {
		Map<String, Evidence> domains = new TreeMap<>();
		for (MemberHealth agent : agents) {
			Evidence evidence = domains.computeIfAbsent(agent.vm().failureDomain(), (domain) -> new Evidence());
			evidence.add(agent, nowMs - windowMs);
		}
		int lostDomains = (int) domains.values().stream().filter(Evidence::domainLost).count();
		int answeringDomains = (int) domains.values().stream().filter(Evidence::domainAnswers).count();
		return new Verdict(lostDomains, answeringDomains);
	}

	/**
	 * Number of failure domains that are lost and that answer.
	 *
	 * @param lostDomains failure domains whose agents are mostly lost
	 * @param answeringDomains failure domains whose agents mostly answer
	 */
	record Verdict(int lostDomains, int answeringDomains) {

		boolean ownNetworkLost() {
			return this.lostDomains > 1 && this.lostDomains > this.answeringDomains;
		}

	}

	private static final class Evidence {

		private int known;

		private int lost;

		private int heard;

		void add(MemberHealth agent, long windowStartMs) {
			this.known++;
			if (agent.lostWhileInUse(windowStartMs)) {
				this.lost++;
			}
			else if (agent.heardAtMs() >= windowStartMs) {
				this.heard++;
			}
		}

		boolean domainLost() {
			return this.lost > this.heard && this.lost >= Math.min(MIN_LOST_AGENTS, this.known);
		}

		boolean domainAnswers() {
			return this.heard > 0 && !domainLost();
		}

	}

}
