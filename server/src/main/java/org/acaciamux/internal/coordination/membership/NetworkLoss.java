package org.acaciamux.internal.coordination.membership;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/**
 * Judges whether the own network is lost rather than the others. A failure domain is dark
 * if, among its agents with evidence in the window, more were lost from use than heard
 * from; agents that were lost earlier do not count, or they would count forever. The own
 * network is lost if more than one failure domain is dark and the dark ones are the
 * majority of those with evidence: when most domains answer over the same network, the
 * silent ones have failed themselves. Holds no state; thread-safe.
 */
final class NetworkLoss {

	private static final int ENOUGH_LOST = 2;

	private NetworkLoss() {
	}

	static Verdict judge(Collection<MemberHealth> agents, long nowMs, long windowMs) {
		Map<String, Evidence> domains = new TreeMap<>();
		for (MemberHealth agent : agents) {
			Evidence evidence = domains.computeIfAbsent(agent.vm().failureDomain(), (domain) -> new Evidence());
			evidence.add(agent, nowMs - windowMs);
		}
		int dark = (int) domains.values().stream().filter(Evidence::dark).count();
		int lit = (int) domains.values().stream().filter(Evidence::lit).count();
		return new Verdict(dark, lit);
	}

	/**
	 * What the evidence shows.
	 *
	 * @param dark failure domains whose agents are mostly lost
	 * @param lit failure domains whose agents mostly answer
	 */
	record Verdict(int dark, int lit) {

		boolean ownNetworkLost() {
			return this.dark > 1 && this.dark > this.lit;
		}

	}

	private static final class Evidence {

		private int known;

		private int lost;

		private int heard;

		void add(MemberHealth agent, long sinceMs) {
			this.known++;
			if (agent.lostFromUse(sinceMs)) {
				this.lost++;
			}
			else if (agent.heardAtMs() >= sinceMs) {
				this.heard++;
			}
		}

		boolean dark() {
			return this.lost > this.heard && this.lost >= Math.min(ENOUGH_LOST, this.known);
		}

		boolean lit() {
			return this.heard > 0 && !dark();
		}

	}

}
