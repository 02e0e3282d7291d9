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
 * The objects that {@link ConfigurationSync} uses. Immutable and thread-safe.
 *
 * @param records the records that this process holds
 * @param members the members as this process sees them
 * @param store the platform's object API
 * @param vms the platform's VM list
 * @param links links to other processes
 * @param clock the monotonic clock
 * @param wallClock the wall clock, in milliseconds since 1970, written into the fleet
 * status
 * @param random the source of jitter and random choices; used by one task at a time
 * @param metrics the registry for the metrics of the replication
 * @param executor runs the work of the replication, one task at a time, on threads that
 * hold no lock
 */
public record ConfigurationParts(RecordTable records, MemberTable members, ObjectStore store, VmDirectory vms,
		PeerLinks links, NanoClock clock, EpochClock wallClock, RandomGenerator random, MetricRegistry metrics,
		Executor executor) {
}
