package org.acaciamux.internal.coordination.membership;

import java.util.ArrayList;
import java.util.List;

import org.acaciamux.internal.protocol.wire.MemberLoad;

/**
 * What is known about one agent's load. Within an incarnation the higher heartbeat wins
 * and leaving is never taken back; between incarnations the one heard later wins, and a
 * replaced one never returns. Immutable and thread-safe.
 *
 * @param id the VM's id
 * @param incarnation the incarnation of its process
 * @param heartbeat the counter of its heartbeats
 * @param load requests that its backend server runs
 * @param queued requests that wait
 * @param flags bits of {@link MemberLoad}
 * @param heardAtMs when the heartbeat was given, in milliseconds of this process's clock
 * @param replaced earlier incarnations, latest last
 */
record LoadEntry(String id, long incarnation, long heartbeat, int load, int queued, int flags, long heardAtMs,
		List<Long> replaced) {

	/** The agent leaves. */
	static final int LEAVING = 1;

	/** Its backend server is down. */
	static final int BACKEND_DOWN = 2;

	/** It was lost repeatedly and is held out. */
	static final int FLAPPING = 4;

	private static final int REMEMBERED = 4;

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
	 * Join with what another agent told about the same agent.
	 * @param other the other entry
	 * @return the newer one, with leaving kept; this entry itself if the other tells
	 * nothing new
	 */
	LoadEntry join(LoadEntry other) {
		if (this.replaced.contains(other.incarnation)) {
			return this;
		}
		if (other.incarnation != this.incarnation) {
			return (other.heardAtMs > this.heardAtMs) ? other.replacing(this) : this;
		}
		boolean news = other.heartbeat > this.heartbeat || (other.has(LEAVING) && !has(LEAVING));
		if (!news) {
			return this;
		}
		LoadEntry newer = (other.heartbeat > this.heartbeat) ? other : this;
		int joined = newer.flags | ((this.flags | other.flags) & LEAVING);
		long heardAt = Math.max(this.heardAtMs, newer.heardAtMs);
		return new LoadEntry(this.id, this.incarnation, newer.heartbeat, newer.load, newer.queued, joined, heardAt,
				this.replaced);
	}

	private LoadEntry replacing(LoadEntry old) {
		List<Long> all = new ArrayList<>(old.replaced);
		all.add(old.incarnation);
		List<Long> kept = all.subList(Math.max(0, all.size() - REMEMBERED), all.size());
		return new LoadEntry(this.id, this.incarnation, this.heartbeat, this.load, this.queued, this.flags,
				this.heardAtMs, List.copyOf(kept));
	}

	LoadEntry with(int flag) {
		return new LoadEntry(this.id, this.incarnation, this.heartbeat, this.load, this.queued, this.flags | flag,
				this.heardAtMs, this.replaced);
	}

	boolean has(int flag) {
		return (this.flags & flag) != 0;
	}

}
