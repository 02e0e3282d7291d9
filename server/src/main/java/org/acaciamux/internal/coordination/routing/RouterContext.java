package org.acaciamux.internal.coordination.routing;

import java.util.function.BooleanSupplier;

import org.acaciamux.internal.coordination.claim.PartitionOwners;
import org.acaciamux.internal.coordination.membership.MembershipEvidence;
import org.acaciamux.internal.coordination.membership.MembershipView;
import org.acaciamux.internal.protocol.PeerLinks;
import org.acaciamux.internal.state.record.RecordView;

/**
 * The parts of the process that a router uses. Immutable; the parts are thread-safe.
 *
 * @param records the records in force
 * @param members the members of the fleet
 * @param evidence receives what responses and links show about members
 * @param chooser decides in which order agents are tried
 * @param owners finds the owners of partitions for requests with a key
 * @param links the links to agents
 * @param ready whether the process has enough configuration to route
 */
public record RouterContext(RecordView records, MembershipView members, MembershipEvidence evidence,
		CandidateChooser chooser, PartitionOwners owners, PeerLinks links, BooleanSupplier ready) {
}
