package org.acaciamux.internal.transport.http.direct;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.acaciamux.internal.coordination.direct.ServerState;

/**
 * Finds out whether a server crashed when a response broke off or did not come. Placement
 * avoids such a server, so requests alone may not reach it before it is back. Invariants:
 * at most one check of a server is in progress; only bytes that arrive afterwards or an
 * accepted connection show that a server lives, because an idle connection to a crashed
 * one may look open for good. Confined to the event loop.
 */
final class CrashCheck {

	/**
	 * Time from a broken response to the check, in milliseconds: a process that ends
	 * closes its connections and its listening socket one after the other.
	 */
	private static final long DELAY_MS = 100;

	/**
	 * Time from a broken response until bytes from its server count as sent after it, in
	 * nanoseconds: longer than the jitter between two connections.
	 */
	private static final long IN_FLIGHT_NANOS = 50_000_000L;

	/**
	 * After which time bytes show that a server lives that is being checked, in monotonic
	 * nanoseconds: later than its last broken response.
	 */
	private final Map<String, Long> checking = new HashMap<>();

	/** Called if a server lives, by its lifetime. */
	private final Map<String, List<Runnable>> actions = new HashMap<>();

	private final DirectContext context;

	CrashCheck(DirectContext context) {
		this.context = context;
	}

	/**
	 * Record that a response broke off, and check its server.
	 * @param fingerprint the request's fingerprint
	 * @param send the send
	 */
	void brokeOff(long fingerprint, ServerSend send) {
		this.context.suspects().brokeOff(fingerprint, send.server().observedLifetime());
		start(send, this.context.now() + IN_FLIGHT_NANOS);
	}

	/**
	 * Record that a request was given up although its server had sent nothing since the
	 * request was sent, and check the server. One that lost power closes no connection.
	 * @param fingerprint the request's fingerprint
	 * @param send the send
	 */
	void silent(long fingerprint, ServerSend send) {
		this.context.suspects().brokeOff(fingerprint, send.server().observedLifetime());
		start(send, this.context.now());
	}

	/**
	 * Check a server whose response ended with its connection.
	 * @param fingerprint the request's fingerprint
	 * @param send the send
	 * @param action called if the server lives
	 */
	void endedWithConnection(long fingerprint, ServerSend send, Runnable action) {
		String lifetime = send.server().observedLifetime();
		this.actions.computeIfAbsent(lifetime, (key) -> new ArrayList<>()).add(action);
		this.context.suspects().endedWithConnection(fingerprint, lifetime);
		start(send, this.context.now() + IN_FLIGHT_NANOS);
	}

	private void start(ServerSend send, long livesIfReceivedAfter) {
		ServerState server = send.server();
		String lifetime = server.observedLifetime();
		this.context.promptSuspects().brokeOff(send.promptRun(), lifetime);
		if (this.checking.put(lifetime, livesIfReceivedAfter) == null) {
			this.context.loop().schedule(() -> check(server, lifetime), DELAY_MS, TimeUnit.MILLISECONDS);
		}
	}

	private void check(ServerState server, String lifetime) {
		if (server.lastReceivedAt() - this.checking.get(lifetime) > 0) {
			this.checking.remove(lifetime);
			lives(lifetime);
			checked(lifetime, true);
			return;
		}
		int limit = this.context.maxConnections(server.entry().service());
		this.context.channels().open(server, limit, (result) -> {
			this.checking.remove(lifetime);
			result.forEach((channel) -> {
				this.context.channels().release(channel);
				lives(lifetime);
			});
			if (result.isLeft() && result.getLeft().refused()) {
				lifetimeEnded(lifetime);
			}
			checked(lifetime, result.isRight());
		});
	}

	private void checked(String lifetime, boolean lives) {
		List<Runnable> waiting = Optional.ofNullable(this.actions.remove(lifetime)).orElse(List.of());
		if (lives) {
			waiting.forEach(Runnable::run);
		}
	}

	private void lives(String lifetime) {
		this.context.suspects().lives(lifetime);
		this.context.promptSuspects().lives(lifetime);
	}

	/**
	 * Record that a server's lifetime ended without notice.
	 * @param lifetime the {@link ServerState#observedLifetime()} of the server
	 */
	void lifetimeEnded(String lifetime) {
		this.context.suspects().lifetimeEnded(lifetime);
		this.context.promptSuspects().lifetimeEnded(lifetime);
	}

}
