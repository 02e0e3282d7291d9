package org.acaciamux.internal.coordination.membership;

/**
 * Turns what others tell about an agent into evidence for the member table. Holds no
 * state; thread-safe.
 */
final class PoolEvidence {

	private PoolEvidence() {
	}

	static void give(MemberTable members, LoadEntry entry, long nowMs) {
		members.heardFrom(entry.id(), entry.incarnation(), Math.max(0, nowMs - entry.heardAtMs()));
		members.loadOf(entry.id(), entry.load());
		if (entry.has(LoadEntry.LEAVING)) {
			members.leaving(entry.id(), entry.incarnation());
		}
	}

}
