package org.acaciamux.settings;

import java.util.Optional;

/**
 * Settings of one process. Read with {@link SettingsFile}. Immutable and thread-safe.
 *
 * @param role the role of the process
 * @param id the VM's id, 1 to 64 characters of {@code a-z 0-9 . -}
 * @param region the region
 * @param failureDomain the failure domain
 * @param listen the address at which a router accepts callers; empty for agents
 * @param peer the address at which the process accepts other processes
 * @param admin the address of the admin port
 * @param platform the addresses of the platform's services
 * @param agent settings of the agent role; empty for routers
 * @param limits limits on what the process accepts and holds
 * @param workers number of worker threads, 1 to 256
 */
public record NodeSettings(Role role, String id, String region, String failureDomain, Optional<Endpoint> listen,
		Endpoint peer, Endpoint admin, PlatformSettings platform, Optional<AgentSettings> agent, LimitSettings limits,
		int workers) {
}
