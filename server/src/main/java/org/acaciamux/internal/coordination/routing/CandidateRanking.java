package org.acaciamux.internal.coordination.routing;

import java.util.Arrays;

/**
 * Selects the members with the highest weights in one pass. Invariants: {@code top} is
 * ordered by falling weight; {@code apart} is the heaviest member seen outside the
 * failure domain of the heaviest one. Used by one thread.
 */
final class CandidateRanking {

	private static final int NONE = -1;

	private final CandidateIndex index;

	private final int[] top;

	private final long[] weights;

	private int size;

	private int apart = NONE;

	private long apartWeight = Long.MIN_VALUE;

	CandidateRanking(CandidateIndex index, int count) {
		this.index = index;
		this.top = new int[Math.min(count, index.size())];
		this.weights = new long[this.top.length];
	}

	/**
	 * Take a member into account.
	 * @param slot its slot
	 * @param weight its weight
	 * @return the weight up to which a further member changes nothing
	 */
	long offer(int slot, long weight) {
		if (this.top.length > 1) {
			noteApart(slot, weight);
		}
		insert(slot, weight);
		if (this.size < this.top.length) {
			return Long.MIN_VALUE;
		}
		long last = this.weights[this.size - 1];
		return (this.top.length > 1) ? Math.min(this.apartWeight, last) : last;
	}

	private void noteApart(int slot, long weight) {
		if (this.size == 0) {
			return;
		}
		boolean heaviest = weight > this.weights[0];
		if (!heaviest && weight <= this.apartWeight || sameDomain(slot, this.top[0])) {
			return;
		}
		this.apart = heaviest ? this.top[0] : slot;
		this.apartWeight = heaviest ? this.weights[0] : weight;
	}

	private boolean sameDomain(int one, int other) {
		return this.index.member(one).failureDomain().equals(this.index.member(other).failureDomain());
	}

	private void insert(int slot, long weight) {
		int at = this.size;
		while (at > 0 && weight > this.weights[at - 1]) {
			at--;
		}
		if (at == this.top.length) {
			return;
		}
		int last = Math.min(this.size, this.top.length - 1);
		System.arraycopy(this.top, at, this.top, at + 1, last - at);
		System.arraycopy(this.weights, at, this.weights, at + 1, last - at);
		this.top[at] = slot;
		this.weights[at] = weight;
		this.size = Math.min(this.size + 1, this.top.length);
	}

	int[] order() {
		int[] order = Arrays.copyOf(this.top, this.size);
		if (this.apart == NONE || order.length < 2) {
			return order;
		}
		int at = 1;
		while (at < order.length - 1 && order[at] != this.apart) {
			at++;
		}
		System.arraycopy(order, 1, order, 2, at - 1);
		order[1] = this.apart;
		return order;
	}

}
