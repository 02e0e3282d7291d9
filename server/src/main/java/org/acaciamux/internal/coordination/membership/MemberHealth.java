package org.acaciamux.internal.coordination.membership;

import java.util.ArrayDeque;
import java.util.Deque;

import org.acaciamux.internal.coordination.platform.VmDirectory.VmEntry;

/**
 * Evidence about one member and the state derived from it. Invariant: an incarnation that
 * was replaced is never accepted again. Not thread-safe: guarded by the lock of its
 * {@link MemberTable}.
 */
final class MemberHealth {

	/** Time stamp of events that have not happened; before all other times. */
	static final long NEVER = Long.MIN_VALUE / 2;

	private static final int MAX_REPLACED = 4;

	private final Deque<Long> replaced = new ArrayDeque<>();

	private VmEntry vm;

	private boolean listed = true;

	private boolean leavingReported;

	private long incarnation;

	private long heardAtMs = NEVER;

	private long lostAtMs = NEVER;

	private long sinceMs;

	private MemberState state = MemberState.JOINING;

	private MemberState beforeLoss = MemberState.JOINING;

	private int load = -1;

	MemberHealth(VmEntry vm, long nowMs) {
		this.vm = vm;
		this.sinceMs = nowMs;
	}

	void markListed(VmEntry entry) {
		this.vm = entry;
		this.listed = true;
	}

	void markUnlisted() {
		this.listed = false;
	}

	/**
	 * Note that the member was heard from.
	 * @param newIncarnation the incarnation that was heard from
	 * @param atMs when that was, in milliseconds
	 * @return whether this was accepted: it was not from a replaced incarnation, and not
	 * from another incarnation at an earlier time than the last one
	 */
	boolean heard(long newIncarnation, long atMs) {
		if (this.replaced.contains(newIncarnation)) {
			return false;
		}
		if (newIncarnation != this.incarnation) {
			if (atMs < this.heardAtMs) {
				return false;
			}
			replaceIncarnation(newIncarnation);
		}
		this.heardAtMs = Math.max(this.heardAtMs, atMs);
		return true;
	}

	private void replaceIncarnation(long newIncarnation) {
		if (this.incarnation != 0) {
			this.replaced.addLast(this.incarnation);
			this.leavingReported = false;
		}
		if (this.replaced.size() > MAX_REPLACED) {
			this.replaced.removeFirst();
		}
		this.incarnation = newIncarnation;
	}

	void markLost(long nowMs) {
		this.lostAtMs = nowMs;
	}

	/**
	 * Discard a loss that the member did not cause, and give it time to be heard from
	 * again.
	 * @param nowMs the time in milliseconds
	 */
	void discardLoss(long nowMs) {
		this.lostAtMs = NEVER;
		if (this.heardAtMs != NEVER) {
			this.heardAtMs = nowMs;
		}
	}

	/**
	 * Return whether the member was in use until it was lost within the window.
	 * @param windowStartMs the start of the window in milliseconds
	 * @return whether the loss counts as evidence about this process's own network
	 */
	boolean lostWhileInUse(long windowStartMs) {
		if (this.lostAtMs <= this.heardAtMs || this.lostAtMs < windowStartMs) {
			return false;
		}
		boolean recentlySuspected = this.state == MemberState.SUSPECT && this.beforeLoss == MemberState.LIVE
				&& this.sinceMs >= windowStartMs;
		return this.state == MemberState.LIVE || recentlySuspected;
	}

	void enter(MemberState newState, long nowMs) {
		if (newState == MemberState.SUSPECT) {
			this.beforeLoss = this.state;
		}
		this.state = newState;
		this.sinceMs = nowMs;
	}

	void reportLeaving() {
		this.leavingReported = true;
	}

	void setLoad(int newLoad) {
		this.load = newLoad;
	}

	boolean leaving() {
		return this.leavingReported || this.vm.leaving();
	}

	VmEntry vm() {
		return this.vm;
	}

	long incarnation() {
		return this.incarnation;
	}

	boolean listed() {
		return this.listed;
	}

	MemberState state() {
		return this.state;
	}

	MemberState beforeLoss() {
		return this.beforeLoss;
	}

	/**
	 * Return the time of the last evidence that the member exists.
	 * @return when it was last heard from, or, if never, since when it is in its state
	 */
	long lastEvidenceMs() {
		return (this.heardAtMs != NEVER) ? this.heardAtMs : this.sinceMs;
	}

	long sinceMs() {
		return this.sinceMs;
	}

	long heardAtMs() {
		return this.heardAtMs;
	}

	long lostAtMs() {
		return this.lostAtMs;
	}

	Member toMember() {
		return new Member(this.vm.id(), this.vm.role(), this.vm.address(), this.vm.peerPort(), this.vm.region(),
				this.vm.failureDomain(), this.vm.pool(), this.state, this.load);
	}

}
