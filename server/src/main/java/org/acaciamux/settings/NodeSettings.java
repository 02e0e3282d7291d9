package org.acaciamux.settings;

import java.util.Optional;

/**
 * Settings of one process. Read with {@link SettingsFile}. Immutable and thread-safe.
 *
 * @param role what the process does
 * @param id the VM's id, 1 to 64 characters of {@code a-z 0-9 . -}
 * @param region the region
 * @param failureDomain the failure domain
 * @param listen where routers accept callers; empty for agents
 * @param peer where the process accepts other processes
 * @param admin the admin port
 * @param platform the platform's services
 * @param agent settings of the agent role; empty for routers
 * @param limits limits
 * @param workers worker threads, 1 to 256
 */
public record NodeSettings(Role role, String id, String region, String failureDomain, Optional<Endpoint> listen,
		Endpoint peer, Endpoint admin, PlatformSettings platform, Optional<AgentSettings> agent, LimitSettings limits,
		int workers) {
}
