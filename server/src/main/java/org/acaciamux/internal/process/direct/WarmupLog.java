package org.acaciamux.internal.process.direct;

import org.acaciamux.internal.coordination.warmup.ColdReason;
import org.acaciamux.internal.coordination.warmup.WarmupObserver;
import org.acaciamux.internal.event.DecisionLog;
import org.acaciamux.internal.transport.http.direct.DirectMetrics;

/**
 * Writes the changes of cold servers to the log and the metrics. Confined to the event
 * loop.
 */
final class WarmupLog implements WarmupObserver {

	private final DirectMetrics metrics;

	private final DecisionLog log;

	WarmupLog(DirectMetrics metrics, DecisionLog log) {
		this.metrics = metrics;
		this.log = log;
	}

	@Override
	public void cold(String lifetime, ColdReason reason, long leftMs) {
		this.log.line("event=server-cold server=" + lifetime + " reason=" + reason.label() + " leftMs=" + leftMs);
	}

	@Override
	public void warm(String lifetime, ColdReason reason) {
		this.log.line("event=server-warm server=" + lifetime + " reason=" + reason.label() + " leftMs=0");
	}

	@Override
	public void send(boolean withinShare) {
		this.metrics.coldSend(withinShare);
	}

}
