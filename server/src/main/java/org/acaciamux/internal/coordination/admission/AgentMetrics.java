package org.acaciamux.internal.coordination.admission;

import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

/**
 * Metrics of the agent, named {@code acaciamux.admission.<name>}. Thread-safe.
 */
final class AgentMetrics {

	private static final String PREFIX = "acaciamux.admission.";

	private final MetricRegistry registry;

	AgentMetrics(MetricRegistry registry) {
		this.registry = registry;
	}

	void gauge(String name, Supplier<Integer> value) {
		Gauge<Integer> gauge = value::get;
		this.registry.gauge(PREFIX + name, () -> gauge);
	}

	void count(String name) {
		this.registry.counter(PREFIX + name).inc();
	}

	void count(Name name) {
		count(name.text);
	}

	void time(Name name, long ms) {
		time(name.text, ms);
	}

	void time(String name, long ms) {
		this.registry.timer(PREFIX + name).update(Math.max(0, ms), TimeUnit.MILLISECONDS);
	}

	/**
	 * Names of metrics that classes other than {@link AgentCore} record. Immutable and
	 * thread-safe.
	 */
	enum Name {

		/** Time from the arrival of a request to the status of its response. */
		FIRST_BYTE("firstByte"),
		/** Requests that were queued. */
		QUEUED("queuedTotal"),
		/** Request frames ignored because their id was seen before. */
		REPEATED_IDS("repeatedIds"),
		/** Crashes of the backend server with requests in flight. */
		CRASHES("crashes");

		private final String text;

		Name(String text) {
			this.text = text;
		}

	}

}
