package org.acaciamux.internal.coordination.claim;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;

/**
 * Metrics of claims. Thread-safe.
 *
 * @param runs calls that were allowed to run
 * @param attached retries that were attached to a running call
 * @param replayed retries that were answered with a stored answer
 * @param refused calls that were refused
 * @param notOwner calls whose partition is not owned here
 * @param unavailable calls refused because a claim can't be written at the moment
 * @param groupSize entries per group write
 * @param writes writes of claim segments
 * @param takeovers partitions taken over
 * @param lost partitions lost to another agent
 */
record ClaimMetrics(Meter runs, Counter attached, Counter replayed, Counter refused, Counter notOwner,
		Counter unavailable, Histogram groupSize, Meter writes, Counter takeovers, Counter lost) {

	static ClaimMetrics in(MetricRegistry registry) {
		return new ClaimMetrics(registry.meter("acaciamux.claim.runs"), registry.counter("acaciamux.claim.attached"),
				registry.counter("acaciamux.claim.replayed"), registry.counter("acaciamux.claim.refused"),
				registry.counter("acaciamux.claim.not-owner"), registry.counter("acaciamux.claim.unavailable"),
				registry.histogram("acaciamux.claim.group-size"), registry.meter("acaciamux.claim.writes"),
				registry.counter("acaciamux.claim.takeovers"), registry.counter("acaciamux.claim.lost"));
	}

}
