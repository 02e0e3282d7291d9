package org.acaciamux.internal.coordination.routing;

import java.util.IdentityHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;

import org.acaciamux.Failure;
import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.event.EventLog;
import org.acaciamux.internal.protocol.PeerLink;
import org.acaciamux.internal.protocol.PeerLinks;
import org.acaciamux.internal.state.LockRank;
import org.acaciamux.internal.state.RankedLock;

/**
 * Opens one new link for all requests of a lost or silent link. Invariant: at most one
 * replacement of a link is under way, and all requests of a link move to the same new
 * link while that one is open. Thread-safe.
 */
final class LinkReplacements {

	private final RankedLock lock = new RankedLock(LockRank.LEAF);

	private final Map<PeerLink, CompletableFuture<Either<Failure, PeerLink>>> replacements = new IdentityHashMap<>();

	private final PeerLinks links;

	LinkReplacements(PeerLinks links) {
		this.links = links;
	}

	CompletionStage<Either<Failure, PeerLink>> replace(PeerLink old, Member member) {
		CompletableFuture<Either<Failure, PeerLink>> created = new CompletableFuture<>();
		CompletableFuture<Either<Failure, PeerLink>> current = this.lock.get(() -> {
			CompletableFuture<Either<Failure, PeerLink>> earlier = this.replacements.get(old);
			if (earlier == null || unusable(earlier)) {
				this.replacements.put(old, created);
				return created;
			}
			return earlier;
		});
		if (current == created) {
			EventLog.log(RoutingEvent.LINK_RECOVERY, member.id());
			// If the old link is closed, link() suffices: it never returns a closed link
			// and may find a newer one that is open already.
			(old.isOpen() ? this.links.replace(member) : this.links.link(member))
				.whenComplete((result, error) -> replaced(old, created, result, error));
		}
		return current;
	}

	/**
	 * Remove replacements that failed or whose new link is closed.
	 */
	void tick() {
		this.lock.run(() -> this.replacements.entrySet().removeIf((entry) -> unusable(entry.getValue())));
	}

	private void replaced(PeerLink old, CompletableFuture<Either<Failure, PeerLink>> created,
			Either<Failure, PeerLink> result, Throwable error) {
		if (error != null) {
			created.completeExceptionally(error);
			return;
		}
		created.complete(result);
		if (result.isRight() && result.get() != old) {
			old.close("replaced by a new link");
		}
	}

	private static boolean unusable(CompletableFuture<Either<Failure, PeerLink>> replacement) {
		if (!replacement.isDone()) {
			return false;
		}
		return replacement.isCompletedExceptionally()
				|| replacement.join().fold((failure) -> true, (link) -> !link.isOpen());
	}

}
