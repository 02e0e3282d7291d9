package org.acaciamux.internal.process;

import java.util.List;

import io.netty.channel.ChannelFuture;
import io.vavr.control.Either;

import org.acaciamux.Acaciamux.StartFailure;
import org.acaciamux.Node;
import org.acaciamux.internal.coordination.claim.RecordPartitionOwners;
import org.acaciamux.internal.coordination.configuration.ConfigurationParts;
import org.acaciamux.internal.coordination.configuration.ConfigurationSettings;
import org.acaciamux.internal.coordination.configuration.ConfigurationSync;
import org.acaciamux.internal.protocol.wire.Frame.BodyCase;
import org.acaciamux.internal.transport.admin.AdminServer;
import org.acaciamux.settings.Endpoint;
import org.acaciamux.settings.NodeSettings;
import org.acaciamux.settings.Role;

/**
 * Builds a process from its settings and binds its ports. Thread-safe; holds no state.
 */
public final class NodeStarter {

	private static final int TICK_MS = 100;

	private static final int MEMBERS_TICK_MS = 500;

	private NodeStarter() {
	}

	/**
	 * Start a process.
	 * @param settings the settings
	 * @return the running node, or why it did not start
	 */
	public static Either<StartFailure, Node> start(NodeSettings settings) {
		ProcessCore core = new ProcessCore(settings);
		return bindPeers(core).flatMap((peerPort) -> start(core, peerPort)).peekLeft((failure) -> core.close());
	}

	private static Either<StartFailure, Integer> bindPeers(ProcessCore core) {
		ChannelFuture peer = core.peerServer.bind(core.settings.peer().toSocketAddress()).awaitUninterruptibly();
		if (!peer.isSuccess()) {
			return Either.left(bindFailure("peer", core.settings.peer(), peer.cause()));
		}
		return Either.right(ProcessCore.portOf(peer));
	}

	private static Either<StartFailure, Node> start(ProcessCore core, int peerPort) {
		ConfigurationSync configuration = startConfiguration(core, peerPort);
		return startRole(core, configuration, peerPort)
			.flatMap((role) -> bindAdmin(core, configuration, role, peerPort));
	}

	private static ConfigurationSync startConfiguration(ProcessCore core, int peerPort) {
		ConfigurationParts parts = new ConfigurationParts(core.records, core.members, core.store, core.vms,
				core.peerClient, core.clock, core.epochClock, core.newRandom(), core.registry, core.workers::execute);
		ConfigurationSync sync = new ConfigurationSync(ConfigurationSettings.defaults(core.self(peerPort), List.of()),
				parts);
		core.dispatcher.add(sync, BodyCase.CONFIG_DIGEST, BodyCase.CONFIG_PULL, BodyCase.CONFIG_UPDATE,
				BodyCase.FLEET_REPORT);
		core.workers.every(sync::tick, TICK_MS);
		core.workers.every(core.members::tick, MEMBERS_TICK_MS);
		return sync;
	}

	private static Either<StartFailure, RoleRuntime> startRole(ProcessCore core, ConfigurationSync configuration,
			int peerPort) {
		if (core.settings.role() == Role.AGENT) {
			return Either.right(new AgentRuntime(core, peerPort));
		}
		RouterRuntime role = new RouterRuntime(core, new RecordPartitionOwners(core.records), configuration::ready);
		Endpoint listen = core.settings.listen().orElseThrow();
		return role.bind(listen).mapLeft((ex) -> bindFailure("listen", listen, ex)).map((address) -> role);
	}

	private static Either<StartFailure, Node> bindAdmin(ProcessCore core, ConfigurationSync configuration,
			RoleRuntime role, int peerPort) {
		configuration.reportWork(role::workReport);
		ProcessNode node = new ProcessNode(core, configuration, role, peerPort);
		AdminServer admin = new AdminServer(core.group, node);
		ChannelFuture bound = admin.bind(core.settings.admin().toSocketAddress()).awaitUninterruptibly();
		if (!bound.isSuccess()) {
			return Either.left(bindFailure("admin", core.settings.admin(), bound.cause()));
		}
		node.adminPort(ProcessCore.portOf(bound));
		return Either.right(node);
	}

	private static StartFailure bindFailure(String section, Endpoint endpoint, Throwable cause) {
		return new StartFailure(true, "cannot listen at " + endpoint + " (settings section " + section + "): "
				+ cause.getMessage() + "; stop the process that uses the port or choose another one");
	}

}
