package org.acaciamux.internal.coordination.membership;

/**
 * Passes the entries that other processes sent about agents to the member table as
 * evidence. Holds no state; thread-safe.
 */
final class PoolEvidence {

	private PoolEvidence() {
	}

	static void apply(MemberTable members, LoadEntry entry, long nowMs) {
		members.heardFrom(entry.id(), entry.incarnation(), Math.max(0, nowMs - entry.heardAtMs()));
		members.loadReported(entry.id(), entry.load());
		if (entry.hasFlag(LoadEntry.LEAVING)) {
			members.leaving(entry.id(), entry.incarnation());
		}
	}

}
