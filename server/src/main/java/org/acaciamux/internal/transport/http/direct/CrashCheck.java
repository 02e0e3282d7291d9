package org.acaciamux.internal.transport.http.direct;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.acaciamux.internal.coordination.direct.ServerState;

/**
 * Finds out whether a server crashed when a response broke off. Placement avoids such a
 * server, so requests alone may not reach it before it is back. Invariant: at most one
 * check of a server is in progress. Confined to the event loop.
 */
final class CrashCheck {

	/**
	 * Time from a broken response to the check, in milliseconds: a process that ends
	 * closes its connections and its listening socket one after the other.
	 */
	private static final long DELAY_MS = 100;

	private final Set<String> checking = new HashSet<>();

	private final DirectContext context;

	CrashCheck(DirectContext context) {
		this.context = context;
	}

	/**
	 * Record that a response broke off, and check its server.
	 * @param fingerprint the request's fingerprint
	 * @param server the server
	 */
	void brokeOff(long fingerprint, ServerState server) {
		String lifetime = server.observedLifetime();
		this.context.suspects().brokeOff(fingerprint, lifetime);
		long brokeAt = this.context.now();
		if (this.checking.add(lifetime)) {
			this.context.loop().schedule(() -> check(server, lifetime, brokeAt), DELAY_MS, TimeUnit.MILLISECONDS);
		}
	}

	private void check(ServerState server, String lifetime, long brokeAt) {
		if (this.context.channels().openSince(server.entry().id(), brokeAt)) {
			this.checking.remove(lifetime);
			return;
		}
		int limit = this.context.maxConnections(server.entry().service());
		this.context.channels().open(server, limit, (result) -> {
			this.checking.remove(lifetime);
			result.forEach(this.context.channels()::release);
			if (result.isLeft() && result.getLeft().unreachable()) {
				this.context.suspects().lifetimeEnded(lifetime);
			}
		});
	}

}
