package org.acaciamux.internal.coordination.routing;

import java.util.Optional;

import org.acaciamux.FailureCode;
import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.protocol.wire.Refused;

/**
 * The sequence of servers that a request is tried at. Implementations are confined to the
 * tasks of one request and end after a bounded number of trials.
 */
interface Trials {

	/**
	 * Return the next trial.
	 * @return the trial, or empty if none is left
	 */
	Optional<PlannedTrial> next();

	/**
	 * Record that the agent of the most recent trial redirected the request.
	 * @param refused the agent's answer
	 */
	void redirected(Refused refused);

	/**
	 * Record that the request never reached the agent of the most recent trial.
	 * @param agentAnswered whether the agent itself reported that
	 */
	void notReached(boolean agentAnswered);

	/**
	 * Return why no trial is left.
	 * @return the code for the caller
	 */
	FailureCode exhaustedCode();

	/**
	 * Return what the caller is told when no trial is left.
	 * @return what happened, why, and what to do next
	 */
	String exhaustedDetail();

	/**
	 * One trial.
	 *
	 * @param member the agent
	 * @param warm whether its server is believed to hold the chat's context
	 * @param last whether the agent must queue or refuse the request instead of
	 * redirecting it because of its load
	 */
	record PlannedTrial(Member member, boolean warm, boolean last) {
	}

}
