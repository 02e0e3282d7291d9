package org.acaciamux.internal.coordination.configuration;

import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;

import org.acaciamux.internal.coordination.membership.MemberTable;
import org.acaciamux.internal.coordination.platform.ObjectStore;
import org.acaciamux.internal.coordination.platform.VmDirectory;
import org.acaciamux.internal.protocol.PeerLinks;
import org.acaciamux.internal.state.record.RecordTable;

/**
 * What the spread of records works with. Immutable and thread-safe.
 *
 * @param records the records of this process
 * @param members the members as this process sees them
 * @param store the platform's object API
 * @param vms the platform's VM list
 * @param links links to other processes
 * @param clock the monotonic clock
 * @param wallClock the time of day in milliseconds, written into the fleet status
 * @param random used by one task at a time
 * @param metrics takes the metrics
 * @param executor runs the work of the spread, one task at a time, on threads that hold
 * no lock
 */
public record ConfigurationParts(RecordTable records, MemberTable members, ObjectStore store, VmDirectory vms,
		PeerLinks links, NanoClock clock, EpochClock wallClock, RandomGenerator random, MetricRegistry metrics,
		Executor executor) {
}
