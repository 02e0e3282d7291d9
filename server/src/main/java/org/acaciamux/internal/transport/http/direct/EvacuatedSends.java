package org.acaciamux.internal.transport.http.direct;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.acaciamux.internal.coordination.direct.ServerState;
import org.acaciamux.internal.coordination.evacuation.DeliveryPolicy;

/**
 * Gives up requests that were written to servers of a failure domain before it was
 * evacuated and may still be on their way. Invariant: a request is given up only if its
 * server has sent nothing since and accepts no connection; all others end where they run.
 * Confined to the event loop.
 */
final class EvacuatedSends {

	private final DirectContext context;

	/** Sends that were written and have not ended. */
	private final Set<ServerSend> sends = new HashSet<>();

	EvacuatedSends(DirectContext context) {
		this.context = context;
	}

	void add(ServerSend send) {
		this.sends.add(send);
	}

	void remove(ServerSend send) {
		this.sends.remove(send);
	}

	/**
	 * Check the requests at servers of domains that are evacuated from now on.
	 * @param domains names of the domains
	 */
	void evacuated(Set<String> domains) {
		Predicate<ServerSend> affected = (send) -> domains.contains(send.server().entry().domain());
		doubtful(affected).stream()
			.map(ServerSend::server)
			.collect(Collectors.toSet())
			.forEach((server) -> probe(server, DeliveryPolicy.PROBES));
	}

	private List<ServerSend> doubtful(Predicate<ServerSend> affected) {
		return this.sends.stream()
			.filter(affected)
			.filter((send) -> DeliveryPolicy.doubtful(send.sentAt(), send.server().lastReceivedAt(),
					send.responding(false)))
			.toList();
	}

	private void probe(ServerState server, int attempts) {
		int limit = this.context.maxConnections(server.entry().service());
		this.context.channels().open(server, limit, (result) -> {
			result.forEach(this.context.channels()::release);
			// A connection that this router has no share for shows nothing.
			if (result.isRight() || !server.suspect(this.context.now())) {
				return;
			}
			if (attempts > 1) {
				probe(server, attempts - 1);
				return;
			}
			doubtful((send) -> send.server() == server)
				.forEach((send) -> send.abort("the failure domain was evacuated and the request may not have arrived: "
						+ result.getLeft().reason()));
		});
	}

}
