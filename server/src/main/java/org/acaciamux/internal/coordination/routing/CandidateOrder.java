package org.acaciamux.internal.coordination.routing;

import java.util.ArrayList;
import java.util.List;

import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.coordination.routing.CandidateChooser.Trial;
import org.acaciamux.internal.state.StableHash;
import org.acaciamux.internal.state.record.PoolSpec;

/**
 * Orders the servers of one plan: the holder named by the caller's affinity token, the
 * server that ran the chat last, then the candidates by rank. The first candidate
 * precedes the holder unless it is clearly more loaded: a chat that stays wherever an
 * overload diverted it to leaves copies of its context on many servers, and every copy
 * displaces another chat's context. A less loaded candidate precedes the first server
 * when the load of that server is beyond what {@code reusePreference} allows. Used by one
 * thread.
 */
final class CandidateOrder {

	private static final int NONE = -1;

	/** Members drawn for the overflow server, of which the least loaded is chosen. */
	private static final int OVERFLOW_DRAWS = 4;

	/**
	 * Load by which the preferred server may exceed the least loaded candidate at
	 * {@code reusePreference} 0.5, in multiples of what the load bound allows above the
	 * mean. With a margin of 1, the default preference lost 8% to 13% of the reuse
	 * without lowering the 99th percentile of the load skew.
	 */
	private static final double REUSE_MARGIN = 2.0;

	/**
	 * Load difference in requests that is ignored, because a view may still count a
	 * request that has ended. Without it, a chat that returned through a second router 50
	 * ms later ran on a server without its context.
	 */
	private static final int IGNORED_LOAD_DIFFERENCE = 1;

	private final PoolSpec pool;

	private final CandidateIndex index;

	private final int tokenHolder;

	private final int lastServer;

	private final int[] ranked;

	private final long overflowSeed;

	CandidateOrder(PoolSpec pool, CandidateIndex index, int tokenHolder, int lastServer, int[] ranked,
			long overflowSeed) {
		this.pool = pool;
		this.index = index;
		this.tokenHolder = tokenHolder;
		this.lastServer = lastServer;
		this.ranked = ranked;
		this.overflowSeed = overflowSeed;
	}

	List<Trial> trials() {
		List<Trial> trials = new ArrayList<>(this.ranked.length + 3);
		int holder = (this.tokenHolder != NONE) ? this.tokenHolder : this.lastServer;
		if (holder == NONE || firstCandidatePrecedes(this.index.member(holder).load())) {
			add(trials, this.ranked[0]);
		}
		add(trials, this.tokenHolder);
		add(trials, this.lastServer);
		for (int slot : this.ranked) {
			add(trials, slot);
		}
		preferLighter(trials);
		addOverflow(trials);
		return trials;
	}

	/**
	 * Add a last server, drawn from the whole pool, so that the requests of a chat that
	 * alone exceeds its candidates spread over the pool and do not wait while other
	 * servers are idle.
	 * @param trials the servers in order
	 */
	private void addOverflow(List<Trial> trials) {
		int lightest = NONE;
		for (int i = 1; i <= OVERFLOW_DRAWS; i++) {
			int slot = (int) Long.remainderUnsigned(StableHash.weight(this.overflowSeed, i), this.index.size());
			if (lightest == NONE || this.index.member(slot).load() < this.index.member(lightest).load()) {
				lightest = slot;
			}
		}
		add(trials, lightest);
	}

	/**
	 * Return whether the first candidate precedes the holder: when the candidate is less
	 * loaded, or more loaded by less than half of what the load bound allows. If one of
	 * the loads is unknown, the holder stays first.
	 * @param holderLoad the load of the holder
	 * @return whether the first candidate is tried first
	 */
	private boolean firstCandidatePrecedes(int holderLoad) {
		int candidateLoad = this.index.member(this.ranked[0]).load();
		double margin = (this.pool.loadBound() - 1.0) / 2;
		return candidateLoad >= 0 && candidateLoad < holderLoad * (1.0 + margin);
	}

	private void add(List<Trial> trials, int slot) {
		if (slot == NONE) {
			return;
		}
		Member member = this.index.member(slot);
		for (Trial trial : trials) {
			if (trial.member() == member) {
				return;
			}
		}
		trials.add(new Trial(member, slot == this.tokenHolder || slot == this.lastServer));
	}

	private void preferLighter(List<Trial> trials) {
		int lightest = lightest(trials);
		if (lightest > 0 && tooLoaded(trials.get(0).member().load(), trials.get(lightest).member().load())) {
			trials.add(0, trials.remove(lightest));
		}
	}

	/**
	 * Find the least loaded server. A server whose load is unknown neither displaces
	 * another nor is displaced.
	 * @param trials the servers in order
	 * @return the index of the first one with the lowest load, 0 if loads are unknown
	 */
	private static int lightest(List<Trial> trials) {
		int lightest = 0;
		for (int i = 1; i < trials.size(); i++) {
			int load = trials.get(i).member().load();
			if (load >= 0 && load < trials.get(lightest).member().load()) {
				lightest = i;
			}
		}
		return lightest;
	}

	/**
	 * Return whether the preferred server is too loaded to stay first. At
	 * {@code reusePreference} 0.0 any less loaded candidate is preferred, at 1.0 none; at
	 * 0.5 the server may be twice as far above the candidate as the load bound allows it
	 * to be above the mean.
	 * @param preferredLoad the load of the preferred server
	 * @param lightestLoad the load of the least loaded candidate
	 * @return whether the candidate is tried first
	 */
	private boolean tooLoaded(int preferredLoad, int lightestLoad) {
		double preference = this.pool.reusePreference();
		if (preference >= 1.0) {
			return false;
		}
		double margin = REUSE_MARGIN * preference / (1.0 - preference) * (this.pool.loadBound() - 1.0);
		double allowed = margin * (lightestLoad + 1);
		return preferredLoad - lightestLoad > ((preference > 0) ? Math.max(IGNORED_LOAD_DIFFERENCE, allowed) : allowed);
	}

}
