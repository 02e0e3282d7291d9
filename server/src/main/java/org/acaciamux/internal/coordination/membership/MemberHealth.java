package org.acaciamux.internal.coordination.membership;

import java.util.ArrayDeque;
import java.util.Deque;

import org.acaciamux.internal.coordination.platform.VmDirectory.VmEntry;

/**
 * What is known about one member. Invariant: an incarnation that was replaced never
 * counts again. Not thread-safe: guarded by the lock of its {@link MemberTable}.
 */
final class MemberHealth {

	/** A time before all others. */
	static final long NEVER = Long.MIN_VALUE / 2;

	private static final int REMEMBERED_INCARNATIONS = 4;

	private final Deque<Long> replaced = new ArrayDeque<>();

	private VmEntry vm;

	private boolean listed = true;

	private boolean saidLeaving;

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

	void list(VmEntry entry) {
		this.vm = entry;
		this.listed = true;
	}

	void unlist() {
		this.listed = false;
	}

	/**
	 * Note a sign of life.
	 * @param newIncarnation the incarnation that gave it
	 * @param atMs when it gave it, in milliseconds
	 * @return whether it counts: not from a replaced incarnation and not older than the
	 * last one
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
			this.saidLeaving = false;
		}
		if (this.replaced.size() > REMEMBERED_INCARNATIONS) {
			this.replaced.removeFirst();
		}
		this.incarnation = newIncarnation;
	}

	void lost(long nowMs) {
		this.lostAtMs = nowMs;
	}

	/**
	 * Forget a loss that was not the member's and give it time to be heard again.
	 * @param nowMs the time in milliseconds
	 */
	void excuseLoss(long nowMs) {
		this.lostAtMs = NEVER;
		if (this.heardAtMs != NEVER) {
			this.heardAtMs = nowMs;
		}
	}

	/**
	 * Return whether the member was in use until it was lost in the window.
	 * @param windowStartMs the start of the window
	 * @return whether this is a loss that counts as evidence about the own network
	 */
	boolean lostFromUse(long windowStartMs) {
		if (this.lostAtMs <= this.heardAtMs || this.lostAtMs < windowStartMs) {
			return false;
		}
		boolean justSuspected = this.state == MemberState.SUSPECT && this.beforeLoss == MemberState.LIVE
				&& this.sinceMs >= windowStartMs;
		return this.state == MemberState.LIVE || justSuspected;
	}

	void enter(MemberState newState, long nowMs) {
		if (newState == MemberState.SUSPECT) {
			this.beforeLoss = this.state;
		}
		this.state = newState;
		this.sinceMs = nowMs;
	}

	void sayLeaving() {
		this.saidLeaving = true;
	}

	void load(int newLoad) {
		this.load = newLoad;
	}

	boolean leaving() {
		return this.saidLeaving || this.vm.leaving();
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
	 * Return the last sign that the member exists.
	 * @return when it was last heard from, or since when it is in its state if never
	 */
	long lastSignMs() {
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
