package org.acaciamux.internal.coordination.membership;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers how often members were lost and how long each is held out, which means not
 * used although it is heard from. Invariants: at most the configured number of members is
 * remembered, and the one whose last loss is the oldest is dropped first; the time held
 * out grows with each loss and is bounded. Not thread-safe: guarded by the lock of its
 * {@link MemberTable}.
 */
final class LossHistory {

	private final MembershipSettings settings;

	private final Map<String, Losses> losses = new LinkedHashMap<>();

	LossHistory(MembershipSettings settings) {
		this.settings = settings;
	}

	/**
	 * Record a loss.
	 * @param id the member's id
	 * @param nowMs the time in milliseconds
	 * @return the number of losses that are not forgotten, this one included
	 */
	int recordLoss(String id, long nowMs) {
		Losses old = this.losses.remove(id);
		boolean forgotten = old == null || nowMs - old.lastMs >= this.settings.forgetAfterMs();
		int count = forgotten ? 1 : old.count + 1;
		this.losses.put(id, new Losses(count, nowMs, nowMs + holdMs(count)));
		if (this.losses.size() > this.settings.pastMembers()) {
			this.losses.remove(this.losses.keySet().iterator().next());
		}
		return count;
	}

	/**
	 * Remove the last loss of a member, because the member did not cause it.
	 * @param id the member's id
	 */
	void removeLastLoss(String id) {
		Losses old = this.losses.get(id);
		if (old != null && old.count > 1) {
			this.losses.put(id, new Losses(old.count - 1, old.lastMs, old.lastMs));
		}
		else {
			this.losses.remove(id);
		}
	}

	boolean heldOut(String id, long nowMs) {
		Losses known = this.losses.get(id);
		return known != null && nowMs < known.heldUntilMs;
	}

	/**
	 * Return how long a member is held out.
	 * @param count the number of losses that are not forgotten, at least 1
	 * @return the time in milliseconds, 0 after a single loss
	 */
	long holdMs(int count) {
		if (count <= 1) {
			return 0;
		}
		int doublings = Math.min(count - 2, 30);
		return Math.min(this.settings.holdBaseMs() << doublings, this.settings.holdMaxMs());
	}

	int size() {
		return this.losses.size();
	}

	private record Losses(int count, long lastMs, long heldUntilMs) {
	}

}
