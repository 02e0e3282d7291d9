package org.acaciamux.internal.coordination.routing;

import java.util.Arrays;

/**
 * Selects the members with the highest weights in one pass. Invariants: {@code top} is
 * ordered by descending weight; {@code otherDomain} is the heaviest member seen outside
 * the failure domain of the heaviest one. Used by one thread.
 */
final class CandidateRanking {

	private static final int NONE = -1;

	private final CandidateIndex index;

	private final int[] top;

	private final long[] weights;

	private int size;

	private int otherDomain = NONE;

	private long otherDomainWeight = Long.MIN_VALUE;

	CandidateRanking(CandidateIndex index, int count) {
		this.index = index;
		this.top = new int[Math.min(count, index.size())];
		this.weights = new long[this.top.length];
	}

	/**
	 * Consider a member for the ranking.
	 * @param slot its slot
	 * @param weight its weight
	 * @return the weight that a further member must exceed to change the ranking
	 */
	long offer(int slot, long weight) {
		if (this.top.length > 1) {
			updateOtherDomain(slot, weight);
		}
		insert(slot, weight);
		if (this.size < this.top.length) {
			return Long.MIN_VALUE;
		}
		long last = this.weights[this.size - 1];
		return (this.top.length > 1) ? Math.min(this.otherDomainWeight, last) : last;
	}

	private void updateOtherDomain(int slot, long weight) {
		if (this.size == 0) {
			return;
		}
		boolean heaviest = weight > this.weights[0];
		if (!heaviest && weight <= this.otherDomainWeight || sameDomain(slot, this.top[0])) {
			return;
		}
		this.otherDomain = heaviest ? this.top[0] : slot;
		this.otherDomainWeight = heaviest ? this.weights[0] : weight;
	}

	private boolean sameDomain(int one, int other) {
		return this.index.member(one).failureDomain().equals(this.index.member(other).failureDomain());
	}

	private void insert(int slot, long weight) {
		int position = this.size;
		while (position > 0 && weight > this.weights[position - 1]) {
			position--;
		}
		if (position == this.top.length) {
			return;
		}
		int last = Math.min(this.size, this.top.length - 1);
		System.arraycopy(this.top, position, this.top, position + 1, last - position);
		System.arraycopy(this.weights, position, this.weights, position + 1, last - position);
		this.top[position] = slot;
		this.weights[position] = weight;
		this.size = Math.min(this.size + 1, this.top.length);
	}

	int[] order() {
		int[] order = Arrays.copyOf(this.top, this.size);
		if (this.otherDomain == NONE || order.length < 2) {
			return order;
		}
		int position = 1;
		while (position < order.length - 1 && order[position] != this.otherDomain) {
			position++;
		}
		System.arraycopy(order, 1, order, 2, position - 1);
		order[1] = this.otherDomain;
		return order;
	}

}
