package org.acaciamux.internal.coordination.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import org.acaciamux.FailureCode;
import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.coordination.routing.CandidateChooser.Trial;
import org.acaciamux.internal.protocol.wire.Refused;

/**
 * Trials of a request that any server of the pool may run: the candidates in order, then
 * once more, marked as last, the one with the lowest load among those that redirected it
 * because of their load. A suspect goes to its designated server instead. Confined to the
 * tasks of one request.
 */
final class LoadTrials implements Trials {

	private final List<Trial> plan;

	private final Function<String, Optional<Member>> find;

	private final List<Busy> busy = new ArrayList<>();

	private Trial current;

	private int index;

	private boolean lastGiven;

	private boolean designatedGiven;

	private Optional<Member> designated = Optional.empty();

	/**
	 * Plan the trials.
	 * @param plan the candidates in order
	 * @param find finds an agent that accepts work
	 */
	LoadTrials(List<Trial> plan, Function<String, Optional<Member>> find) {
		this.plan = plan;
		this.find = find;
	}

	@Override
	public Optional<Next> next() {
		if (this.designatedGiven) {
			// Only the designated server may run a suspect, so no other one is tried.
			Optional<Member> target = this.designated;
			this.designated = Optional.empty();
			return target.map((member) -> new Next(member, false, true));
		}
		if (this.index < this.plan.size()) {
			this.current = this.plan.get(this.index++);
			boolean last = this.index == this.plan.size() && this.busy.isEmpty();
			this.lastGiven = last;
			return Optional.of(next(last));
		}
		if (this.lastGiven || this.busy.isEmpty()) {
			return Optional.empty();
		}
		this.lastGiven = true;
		this.current = this.busy.stream()
			.min(Comparator.comparingInt(Busy::load).thenComparingInt(Busy::queued))
			.orElseThrow()
			.trial();
		return Optional.of(next(true));
	}

	private Next next(boolean last) {
		return new Next(this.current.member(), this.current.warm(), last);
	}

	@Override
	public void redirected(Refused refused) {
		if (refused.getFailureCode().equals(FailureCode.REQUEST_SUSPECT.code()) && !this.designatedGiven) {
			this.designatedGiven = true;
			this.designated = this.find.apply(refused.getOwner());
			return;
		}
		if (refused.getFailureCode().equals(FailureCode.LOAD_BOUND.code())) {
			this.busy.add(new Busy(this.current, refused.getLoad(), refused.getQueued()));
		}
	}

	@Override
	public void notReached(boolean alive) {
		// The next candidate follows; this one is not among the busy ones.
	}

	@Override
	public FailureCode exhausted() {
		return FailureCode.NO_BACKEND;
	}

	@Override
	public String detail() {
		return this.plan.isEmpty()
				? "No server of the pool takes work at the moment; send the request again after the delay."
				: "None of the " + this.plan.size() + " servers tried could take the request; send it again after the "
						+ "delay.";
	}

	private record Busy(Trial trial, int load, int queued) {
	}

}
