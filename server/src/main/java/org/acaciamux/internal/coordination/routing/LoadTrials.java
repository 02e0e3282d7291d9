package org.acaciamux.internal.coordination.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.acaciamux.FailureCode;
import org.acaciamux.internal.coordination.routing.CandidateChooser.Trial;
import org.acaciamux.internal.protocol.wire.Refused;

/**
 * Trials of a request that any server of the pool may run: the candidates in order, then
 * once more, marked as last, the one with the lowest load among those that redirected it
 * because of their load. Confined to the tasks of one request.
 */
final class LoadTrials implements Trials {

	private final List<Trial> plan;

	private final List<Busy> busy = new ArrayList<>();

	private Trial current;

	private int index;

	private boolean lastGiven;

	LoadTrials(List<Trial> plan) {
		this.plan = plan;
	}

	@Override
	public Optional<Next> next() {
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
