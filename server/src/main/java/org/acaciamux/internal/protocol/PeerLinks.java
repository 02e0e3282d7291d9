package org.acaciamux.internal.protocol;

import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;

import org.acaciamux.Failure;
import org.acaciamux.internal.coordination.membership.Member;

/**
 * Opens and shares links to other processes: one open link per VM, opened on first use.
 * Implementations are thread-safe.
 */
public interface PeerLinks {

	/**
	 * Return the open link to a VM, or open one.
	 * @param member the VM
	 * @return the link, or why none could be opened
	 */
	CompletionStage<Either<Failure, PeerLink>> link(Member member);

	/**
	 * Open a new link beside one that is suspected to be silent; later calls of
	 * {@link #link} return the new one.
	 * @param member the VM
	 * @return the link, or why none could be opened
	 */
	CompletionStage<Either<Failure, PeerLink>> replace(Member member);

}
