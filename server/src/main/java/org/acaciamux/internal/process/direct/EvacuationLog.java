package org.acaciamux.internal.process.direct;

import java.util.function.Consumer;

import org.acaciamux.internal.coordination.evacuation.EvacuatedDomains;
import org.acaciamux.internal.event.DecisionLog;
import org.acaciamux.internal.transport.http.direct.DirectMetrics;

/**
 * Puts a change of the evacuated failure domains in force, logs it and counts the
 * domains. Confined to the event loop.
 */
final class EvacuationLog implements EvacuatedDomains.Listener {

	private final DecisionLog log;

	private final DirectMetrics metrics;

	private final Consumer<EvacuatedDomains.Change> action;

	/**
	 * Create a listener.
	 * @param log receives a line for each domain
	 * @param metrics receives the number of domains
	 * @param action puts a change in force
	 */
	EvacuationLog(DecisionLog log, DirectMetrics metrics, Consumer<EvacuatedDomains.Change> action) {
		this.log = log;
		this.metrics = metrics;
		this.action = action;
	}

	@Override
	public void evacuated(EvacuatedDomains.Change change) {
		this.action.accept(change);
		this.metrics.evacuatedDomains(change.inForce().size());
		String origin = " position=" + change.position() + " told-by=" + change.source();
		change.begun()
			.forEach((domain) -> this.log
				.line("event=evacuation-begun domain=" + domain + " held=" + change.held().contains(domain) + origin));
		change.ended().forEach((domain) -> this.log.line("event=evacuation-ended domain=" + domain + origin));
		if (change.begun().isEmpty() && change.ended().isEmpty()) {
			this.log.line("event=evacuation-none" + origin);
		}
	}

}
