package org.acaciamux.internal.coordination.membership;

import java.util.ArrayList;
import java.util.List;

import org.acaciamux.internal.protocol.wire.MemberLoad;

/**
 * The latest load of one agent as this process knows it. Within an incarnation the higher
 * heartbeat wins and the leaving flag is never cleared; between incarnations the one
 * whose heartbeat is more recent wins, and a replaced one is never accepted again.
 * Immutable and thread-safe.
 *
 * @param id the VM's id
 * @param incarnation the incarnation of its process
 * @param heartbeat the counter of its heartbeats
 * @param load requests that its backend server runs
 * @param queued requests that wait
 * @param flags any of the bits {@link #LEAVING}, {@link #BACKEND_DOWN} and
 * {@link #FLAPPING}
 * @param heardAtMs when the agent gave the heartbeat, in milliseconds of this process's
 * clock
 * @param replaced earlier incarnations, latest last
 */
record LoadEntry(String id, long incarnation, long heartbeat, int load, int queued, int flags, long heardAtMs,
		List<Long> replaced) {

	/** Flag: the agent leaves. */
	static final int LEAVING = 1;

	/** Flag: the backend server of the agent is down. */
	static final int BACKEND_DOWN = 2;

	/** Flag: the agent was lost repeatedly and is held out. */
	static final int FLAPPING = 4;

	private static final int MAX_REPLACED = 4;

	static LoadEntry of(MemberLoad frame, long nowMs) {
		long heardAtMs = nowMs - Integer.toUnsignedLong(frame.getAgeMs());
		return new LoadEntry(frame.getId(), frame.getIncarnation(), frame.getHeartbeat(), frame.getLoad(),
				frame.getQueued(), frame.getFlags(), heardAtMs, List.of());
	}

	MemberLoad toFrame(long nowMs) {
		return MemberLoad.newBuilder()
			.setId(this.id)
			.setIncarnation(this.incarnation)
			.setHeartbeat(this.heartbeat)
			.setLoad(this.load)
			.setQueued(this.queued)
			.setFlags(this.flags)
			.setAgeMs((int) Math.max(0, nowMs - this.heardAtMs))
			.build();
	}

	/**
	 * Merge with an entry about the same agent that another agent sent.
	 * @param other the other entry
	 * @return the newer entry, with the leaving flag kept; this same instance if the
	 * other entry contains nothing new
	 */
	LoadEntry merge(LoadEntry other) {
		if (this.replaced.contains(other.incarnation)) {
			return this;
		}
		if (other.incarnation != this.incarnation) {
			return (other.heardAtMs > this.heardAtMs) ? other.replacing(this) : this;
		}
		boolean hasNews = other.heartbeat > this.heartbeat || (other.hasFlag(LEAVING) && !hasFlag(LEAVING));
		if (!hasNews) {
			return this;
		}
		LoadEntry newer = (other.heartbeat > this.heartbeat) ? other : this;
		int mergedFlags = newer.flags | ((this.flags | other.flags) & LEAVING);
		long heardAt = Math.max(this.heardAtMs, newer.heardAtMs);
		return new LoadEntry(this.id, this.incarnation, newer.heartbeat, newer.load, newer.queued, mergedFlags, heardAt,
				this.replaced);
	}

	private LoadEntry replacing(LoadEntry old) {
		List<Long> all = new ArrayList<>(old.replaced);
		all.add(old.incarnation);
		List<Long> kept = all.subList(Math.max(0, all.size() - MAX_REPLACED), all.size());
		return new LoadEntry(this.id, this.incarnation, this.heartbeat, this.load, this.queued, this.flags,
				this.heardAtMs, List.copyOf(kept));
	}

	LoadEntry withFlag(int flag) {
		return new LoadEntry(this.id, this.incarnation, this.heartbeat, this.load, this.queued, this.flags | flag,
				this.heardAtMs, this.replaced);
	}

	boolean hasFlag(int flag) {
		return (this.flags & flag) != 0;
	}

}
