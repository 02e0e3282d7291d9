package org.acaciamux.settings;

import java.util.OptionalLong;

/**
 * Features of a router without agents that a deployment turns on. Immutable and
 * thread-safe.
 *
 * @param evacuationTimeoutMs time after the write of an evacuation from which no request
 * may reach a server of the failure domain, in milliseconds; evacuations are followed
 * only if it is present
 * @param coldOverrun factor by which a cold server may get more requests per second than
 * the configuration says, 0 if cold servers get no limit
 * @param coldAllowance requests per second beyond that; none of them is planned for
 * @param hedgePercent hedges for each 100 requests of a service, 0 to 100; 0 turns
 * hedging off
 * @param waitsForSlots whether requests to plain servers may wait for a slot as long as
 * their response can still be in time
 */
public record FeatureSettings(OptionalLong evacuationTimeoutMs, double coldOverrun, int coldAllowance, int hedgePercent,
		boolean waitsForSlots) {

	/** No feature is on. */
	public static final FeatureSettings NONE = new FeatureSettings(OptionalLong.empty(), 0, 0, 0, false);

}
