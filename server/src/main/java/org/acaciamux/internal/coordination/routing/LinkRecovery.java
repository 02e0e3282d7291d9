package org.acaciamux.internal.coordination.routing;

import io.vavr.control.Either;

import org.acaciamux.Failure;
import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.protocol.PeerLink;

/**
 * Moves one request to a new link after its link was lost or went silent. Invariant: the
 * request itself is never sent again by this class; the agent is asked for the state of
 * the request by id. Confined to the tasks of the request.
 */
final class LinkRecovery {

	private final RouterShared shared;

	private final Host host;

	private PeerLink oldLink;

	private Member member;

	private boolean active;

	private boolean opening;

	private boolean awaitsResolution;

	private long startedAt;

	private long lastAttemptAt;

	/**
	 * Number of the current attempt to open a link; results of earlier ones are ignored.
	 */
	private int currentAttempt;

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
		this.oldLink = link;
		this.member = member;
		this.awaitsResolution = false;
		if (this.active) {
			// The next tick opens another link, so that links that close at once cannot
			// cause a burst of attempts.
			return;
		}
		this.startedAt = this.shared.now();
		this.active = true;
		open();
	}

	/**
	 * Stop: the old link came back, the request was resolved, or it ended.
	 */
	void stop() {
		this.active = false;
		this.awaitsResolution = false;
		this.opening = false;
		this.currentAttempt++;
	}

	boolean active() {
		return this.active;
	}

	/**
	 * Return whether the agent was asked for the state of the request over a new link.
	 * @return whether a resolution is awaited
	 */
	boolean awaitsResolution() {
		return this.awaitsResolution;
	}

	void tick() {
		if (!this.active) {
			return;
		}
		if (this.shared.passed(this.startedAt, this.shared.settings().resolveLimitMs())) {
			stop();
			this.host.unresolved("its agent could not be asked within " + this.shared.settings().resolveLimitMs()
					+ " ms after the link was lost");
			return;
		}
		if (this.opening || !this.shared.passed(this.lastAttemptAt, this.shared.settings().resolveRetryMs())) {
			return;
		}
		if (this.awaitsResolution) {
			ask();
		}
		else {
			open();
		}
	}

	private void open() {
		this.opening = true;
		this.lastAttemptAt = this.shared.now();
		int attempt = ++this.currentAttempt;
		this.shared.replacements()
			.replace(this.oldLink, this.member)
			.whenComplete((result, error) -> this.host.runSerially(() -> opened(attempt, result, error)));
	}

	private void opened(int attempt, Either<Failure, PeerLink> result, Throwable error) {
		if (attempt != this.currentAttempt) {
			return;
		}
		this.opening = false;
		if (error != null || result.isLeft()) {
			this.shared.context().evidence().unreachable(this.member.id());
			return;
		}
		this.awaitsResolution = true;
		if (this.host.moveTo(result.get())) {
			ask();
		}
	}

	private void ask() {
		this.lastAttemptAt = this.shared.now();
		this.host.askState();
	}

	/**
	 * The trial whose link is recovered.
	 */
	interface Host {

		/**
		 * Run a task serially with the request's other tasks.
		 * @param task the task
		 */
		void runSerially(Runnable task);

		/**
		 * Move the request to a new link.
		 * @param link the link
		 * @return whether the agent at its other end can still know the request
		 */
		boolean moveTo(PeerLink link);

		/**
		 * Ask the agent for the state of the request.
		 */
		void askState();

		/**
		 * Give the request up because its state cannot be found out.
		 * @param reason why
		 */
		void unresolved(String reason);

	}

}
