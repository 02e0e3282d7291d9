package org.acaciamux.internal.experiment;

import org.acaciamux.internal.coordination.direct.ReportedLoad;

/**
 * A simulated backend server in virtual time. Used by one thread.
 */
interface SimulatedServer {

	void accept(EngineRun run);

	void cancel(EngineRun run);

	/**
	 * Return the load that the server reports.
	 * @return the load, with the duration of work if the server has noise
	 */
	ReportedLoad load();

}
