package org.acaciamux.internal.coordination.routing;

import io.vavr.control.Either;

import org.acaciamux.Failure;
import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.protocol.PeerLink;

/**
 * Gets one request over to a new link after its link was lost or went silent. Invariant:
 * the request itself is never sent again from here; the agent is asked for its state by
 * id. Confined to the tasks of the request.
 */
final class LinkRecovery {

	private final RouterShared shared;

	private final Host host;

	private PeerLink old;

	private Member member;

	private boolean active;

	private boolean opening;

	private boolean asked;

	private long since;

	private long lastTry;

	private int round;

	LinkRecovery(RouterShared shared, Host host) {
		this.shared = shared;
		this.host = host;
	}

	/**
	 * Start, or start over when the new link is lost as well. The time limit counts from
	 * the first loss.
	 * @param link the lost or silent link
	 * @param member the agent at its other end
	 */
	void start(PeerLink link, Member member) {
		this.old = link;
		this.member = member;
		this.asked = false;
		if (this.active) {
			// The next tick opens another link, so that links that close at once cannot
			// cause a burst of attempts.
			return;
		}
		this.since = this.shared.now();
		this.active = true;
		open();
	}

	/**
	 * Stop: the old link came back, the request was resolved, or it ended.
	 */
	void stop() {
		this.active = false;
		this.asked = false;
		this.opening = false;
		this.round++;
	}

	boolean active() {
		return this.active;
	}

	/**
	 * Return whether the agent was asked for the state of the request.
	 * @return whether a resolution is awaited
	 */
	boolean asked() {
		return this.asked;
	}

	void tick() {
		if (!this.active) {
			return;
		}
		if (this.shared.passed(this.since, this.shared.settings().resolveLimitMs())) {
			stop();
			this.host.unresolved("its agent could not be asked within " + this.shared.settings().resolveLimitMs()
					+ " ms after the link was lost");
			return;
		}
		if (this.opening || !this.shared.passed(this.lastTry, this.shared.settings().resolveRetryMs())) {
			return;
		}
		if (this.asked) {
			ask();
		}
		else {
			open();
		}
	}

	private void open() {
		this.opening = true;
		this.lastTry = this.shared.now();
		int mine = ++this.round;
		this.shared.replacements()
			.replace(this.old, this.member)
			.whenComplete((result, error) -> this.host.later(() -> opened(mine, result, error)));
	}

	private void opened(int mine, Either<Failure, PeerLink> result, Throwable error) {
		if (mine != this.round) {
			return;
		}
		this.opening = false;
		if (error != null || result.isLeft()) {
			this.shared.context().evidence().unreachable(this.member.id());
			return;
		}
		this.asked = true;
		if (this.host.moved(result.get())) {
			ask();
		}
	}

	private void ask() {
		this.lastTry = this.shared.now();
		this.host.askState();
	}

	/**
	 * The request that recovers.
	 */
	interface Host {

		/**
		 * Run a task serially with the request's other tasks.
		 * @param task the task
		 */
		void later(Runnable task);

		/**
		 * Use a new link.
		 * @param link the link
		 * @return whether the agent at its other end can still know the request
		 */
		boolean moved(PeerLink link);

		/**
		 * Ask the agent for the state of the request.
		 */
		void askState();

		/**
		 * Give up.
		 * @param reason why
		 */
		void unresolved(String reason);

	}

}
