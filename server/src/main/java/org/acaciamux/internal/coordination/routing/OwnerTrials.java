package org.acaciamux.internal.coordination.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import org.acaciamux.FailureCode;
import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.protocol.wire.Refused;

/**
 * Trials of a request with a key, which only the owner of the key's partition may run:
 * the known owner first, then the owner that a refusing agent names, then other agents of
 * the pool, which know a newer owner or take the partition over. Every trial is marked as
 * last, because no other server may run the request instead. Confined to the tasks of one
 * request.
 */
final class OwnerTrials implements Trials {

	/**
	 * Enough for an owner that moved twice while the request was under way.
	 */
	private static final int MAX_TRIALS = 4;

	private final Function<String, Optional<Member>> findWorking;

	private final Deque<Member> waiting = new ArrayDeque<>();

	private final Set<String> tried = new HashSet<>();

	private Member current;

	private int trials;

	/**
	 * Create the trials of one request.
	 * @param owner the id of the owner, if one is known
	 * @param others other agents of the pool in order of trial
	 * @param findWorking finds an agent that accepts work
	 */
	OwnerTrials(Optional<String> owner, List<Member> others, Function<String, Optional<Member>> findWorking) {
		this.findWorking = findWorking;
		owner.flatMap(findWorking).ifPresent(this.waiting::add);
		this.waiting.addAll(others);
	}

	@Override
	public Optional<PlannedTrial> next() {
		while (!this.waiting.isEmpty() && this.trials < MAX_TRIALS) {
			Member member = this.waiting.poll();
			if (this.tried.add(member.id())) {
				this.current = member;
				this.trials++;
				return Optional.of(new PlannedTrial(member, false, true));
			}
		}
		return Optional.empty();
	}

	@Override
	public void redirected(Refused refused) {
		if (!refused.getOwner().isEmpty()) {
			this.findWorking.apply(refused.getOwner()).ifPresent(this.waiting::addFirst);
		}
	}

	@Override
	public void notReached(boolean agentAnswered) {
		if (agentAnswered) {
			this.tried.remove(this.current.id());
			this.waiting.addFirst(this.current);
		}
	}

	@Override
	public FailureCode exhaustedCode() {
		return FailureCode.CLAIMS_UNAVAILABLE;
	}

	@Override
	public String exhaustedDetail() {
		return "No agent that owns the partition of the idempotency key could be reached, probably because the "
				+ "partition is moving to another agent; send the request again with the same key after the delay.";
	}

}
