package org.acaciamux.internal.coordination.routing;

import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;

import org.acaciamux.Failure;

/**
 * Metrics of the router role, named {@code acaciamux.routing.<name>}. Thread-safe.
 */
final class RouterMetrics {

	private static final String PREFIX = "acaciamux.routing.";

	private final MetricRegistry registry;

	private final Timer headTime;

	private final Timer totalTime;

	RouterMetrics(MetricRegistry registry, IntSupplier inFlight) {
		this.registry = registry;
		this.headTime = registry.timer(PREFIX + "time-to-head");
		this.totalTime = registry.timer(PREFIX + "duration");
		registry.gauge(PREFIX + "in-flight", () -> (Gauge<Integer>) inFlight::getAsInt);
		for (Count count : Count.values()) {
			counter(count);
		}
	}

	void count(Count count) {
		counter(count).inc();
	}

	void failed(Failure failure) {
		this.registry.counter(PREFIX + "failed." + failure.code().code() + "." + failure.outcome().headerValue()).inc();
	}

	/**
	 * Count the response to a request that had an affinity token.
	 * @param pool the pool's name
	 * @param reused whether the server named in the token ran the request
	 */
	void countAffinity(String pool, boolean reused) {
		this.registry.counter(PREFIX + "returning." + pool).inc();
		if (reused) {
			this.registry.counter(PREFIX + "reused." + pool).inc();
		}
	}

	void head(long nanos) {
		this.headTime.update(nanos, TimeUnit.NANOSECONDS);
	}

	void total(long nanos) {
		this.totalTime.update(nanos, TimeUnit.NANOSECONDS);
	}

	private Counter counter(Count count) {
		return this.registry.counter(PREFIX + count.metric);
	}

	/**
	 * The counters.
	 */
	enum Count {

		/** Requests of callers. */
		REQUESTS("requests"),
		/** Responses completed. */
		ANSWERED("answered"),
		/** Responses broken off after their start. */
		ABORTED("aborted"),
		/** Requests whose caller went away. */
		CANCELLED("cancelled"),
		/** Trials sent to agents. */
		TRIALS("trials"),
		/** Trials that an agent redirected. */
		REDIRECTS("redirects"),
		/** Retries after proof that the request did not run. */
		RETRIES("retries"),
		/** Retries that the budget did not allow. */
		RETRIES_DENIED("retries-denied"),
		/** Requests whose link was lost or silent. */
		RECOVERIES("recoveries"),
		/** Responses continued by offset. */
		RESUMES("resumes"),
		/** Requests that could not be resolved. */
		UNRESOLVED("unresolved"),
		/** Frames dropped: no request has this id. */
		DROPPED_UNKNOWN_ID("dropped.unknown-id"),
		/** Frames dropped: the id is of another incarnation. */
		DROPPED_INCARNATION("dropped.incarnation"),
		/** Frames dropped: they came over a link that the request does not use. */
		DROPPED_LINK("dropped.link"),
		/** Frames dropped: their bytes do not continue the response. */
		DROPPED_OFFSET("dropped.offset"),
		/** Frames dropped: they repeat or contradict earlier ones. */
		DROPPED_STATE("dropped.state");

		private final String metric;

		Count(String metric) {
			this.metric = metric;
		}

	}

}
