package org.acaciamux.internal.coordination.membership;

import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import org.agrona.concurrent.NanoClock;

import org.acaciamux.internal.protocol.PeerLinks;

/**
 * The objects that the load exchange and the pool views use. Immutable and thread-safe.
 *
 * @param links links to other processes
 * @param clock the monotonic clock
 * @param random the source of jitter and random choices; used by one task at a time
 * @param metrics the registry for the metrics
 * @param executor runs the tasks, one at a time, on threads that hold no lock
 */
public record ExchangeParts(PeerLinks links, NanoClock clock, RandomGenerator random, MetricRegistry metrics,
		Executor executor) {
}
