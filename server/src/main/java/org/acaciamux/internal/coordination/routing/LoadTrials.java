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
 * Trials of a request that any server of the pool may run. The candidates are tried in
 * order; after them, the one with the lowest load among those that redirected the request
 * because of their load is tried once more, marked as last. A request that is suspected
 * of crashing servers goes to its designated server instead. Confined to the tasks of one
 * request.
 */
final class LoadTrials implements Trials {

	private final List<Trial> plan;

	private final Function<String, Optional<Member>> findWorking;

	private final List<LoadRefusal> loadRefusals = new ArrayList<>();

	private Trial current;

	private int index;

	private boolean lastTrialGiven;

	private boolean suspected;

	private Optional<Member> designated = Optional.empty();

	/**
	 * Create the trials of one request.
	 * @param plan the candidates in order
	 * @param findWorking finds an agent that accepts work
	 */
	LoadTrials(List<Trial> plan, Function<String, Optional<Member>> findWorking) {
		this.plan = plan;
		this.findWorking = findWorking;
	}

	@Override
	public Optional<PlannedTrial> next() {
		if (this.suspected) {
			// Only the designated server may run a suspect, so no other one is tried.
			Optional<Member> target = this.designated;
			this.designated = Optional.empty();
			return target.map((member) -> new PlannedTrial(member, false, true));
		}
		if (this.index < this.plan.size()) {
			this.current = this.plan.get(this.index++);
			boolean last = this.index == this.plan.size() && this.loadRefusals.isEmpty();
			this.lastTrialGiven = last;
			return Optional.of(next(last));
		}
		if (this.lastTrialGiven || this.loadRefusals.isEmpty()) {
			return Optional.empty();
		}
		this.lastTrialGiven = true;
		this.current = this.loadRefusals.stream()
			.min(Comparator.comparingInt(LoadRefusal::load).thenComparingInt(LoadRefusal::queued))
			.orElseThrow()
			.trial();
		return Optional.of(next(true));
	}

	private PlannedTrial next(boolean last) {
		return new PlannedTrial(this.current.member(), this.current.warm(), last);
	}

	@Override
	public void redirected(Refused refused) {
		if (refused.getFailureCode().equals(FailureCode.REQUEST_SUSPECT.code()) && !this.suspected) {
			this.suspected = true;
			this.designated = this.findWorking.apply(refused.getOwner());
			return;
		}
		if (refused.getFailureCode().equals(FailureCode.LOAD_BOUND.code())) {
			this.loadRefusals.add(new LoadRefusal(this.current, refused.getLoad(), refused.getQueued()));
		}
	}

	@Override
	public void notReached(boolean agentAnswered) {
		// Nothing to note: only candidates that refused because of their load are tried
		// again.
	}

	@Override
	public FailureCode exhaustedCode() {
		return FailureCode.NO_BACKEND;
	}

	@Override
	public String exhaustedDetail() {
		return this.plan.isEmpty()
				? "No server of the pool accepts work at the moment; send the request again after the delay."
				: "None of the " + this.plan.size() + " servers tried could accept the request; send it again after "
						+ "the delay.";
	}

	private record LoadRefusal(Trial trial, int load, int queued) {
	}

}
