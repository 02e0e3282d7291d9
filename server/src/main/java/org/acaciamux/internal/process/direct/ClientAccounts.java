package org.acaciamux.internal.process.direct;

import org.agrona.concurrent.NanoClock;

import org.acaciamux.internal.event.DecisionLog;
import org.acaciamux.internal.transport.http.direct.DirectMetrics;
import org.acaciamux.internal.transport.http.limit.ClientAccount;
import org.acaciamux.internal.transport.http.limit.ClientBounds;
import org.acaciamux.internal.transport.http.limit.ClientLimitLog;
import org.acaciamux.settings.DirectSettings;

/**
 * Creates the account of what the clients of a router use, with bounds that follow from
 * the heap and the descriptors of the process. Holds no state.
 */
final class ClientAccounts {

	private ClientAccounts() {
	}

	static ClientAccount create(DirectSettings settings, int descriptors, NanoClock clock, DirectMetrics metrics,
			DecisionLog log) {
		ClientLimitLog limits = new ClientLimitLog(clock, log);
		ClientBounds bounds = ClientBounds.of(settings.clientLimits(), Runtime.getRuntime().maxMemory(), descriptors);
		return new ClientAccount(bounds, (limit, place) -> {
			metrics.clientLimit(limit);
			limits.reached(limit, place);
		});
	}

}
