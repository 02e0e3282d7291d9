package org.acaciamux.internal.process;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.ObjectNode;

import org.acaciamux.internal.protocol.wire.FleetReport;

/**
 * The part of a process that depends on its role. Implementations are thread-safe.
 */
interface RoleRuntime extends AutoCloseable {

	/**
	 * Return the port for callers.
	 * @return the port, 0 if the role accepts no callers
	 */
	int httpPort();

	/**
	 * Return why the role cannot accept work.
	 * @return the reason, or empty if it can
	 */
	Optional<String> notReadyReason();

	/**
	 * Stop accepting new work.
	 */
	void beginDrain();

	/**
	 * Answer requests that will not end before the drain does, as far as their callers
	 * have no response yet: the process ends soon.
	 */
	void refuseUnanswered();

	/**
	 * Return what a drain still waits for.
	 * @return one entry per item, empty when the drain is complete
	 */
	List<String> waitingFor();

	/**
	 * Return what this process reports about its work to the fleet status.
	 * @return the report
	 */
	FleetReport workReport();

	/**
	 * Add the role's state to a dump.
	 * @param dump the dump
	 */
	void dump(ObjectNode dump);

	@Override
	void close();

}
