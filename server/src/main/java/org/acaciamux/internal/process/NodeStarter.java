package org.acaciamux.internal.process;

import java.util.Optional;

import io.netty.channel.ChannelFuture;
import io.vavr.control.Either;

import org.acaciamux.Acaciamux.StartFailure;
import org.acaciamux.Node;
import org.acaciamux.internal.coordination.membership.PoolLoadView.PoolLoad;
import org.acaciamux.internal.transport.admin.AdminServer;
import org.acaciamux.settings.Endpoint;
import org.acaciamux.settings.NodeSettings;
import org.acaciamux.settings.Role;

/**
 * Builds a process from its settings and binds its ports. Thread-safe; holds no state.
 */
public final class NodeStarter {

	private static final int POLL_MS = 1_000;

	private NodeStarter() {
	}

	/**
	 * Start a process.
	 * @param settings the settings
	 * @return the running node, or why it did not start
	 */
	public static Either<StartFailure, Node> start(NodeSettings settings) {
		ProcessCore core = new ProcessCore(settings);
		PlatformPoller poller = new PlatformPoller(core);
		poller.poll();
		core.workers.every(poller::poll, POLL_MS);
		core.workers.every(core.members::tick, POLL_MS / 10);
		return (settings.role() == Role.ROUTER) ? startRouter(core, poller) : startAgent(core);
	}

	private static Either<StartFailure, Node> startRouter(ProcessCore core, PlatformPoller poller) {
		RouterRuntime role = new RouterRuntime(core, (pool, key) -> Optional.empty(), poller::configured);
		Endpoint listen = core.settings.listen().orElseThrow();
		return role.bind(listen)
			.mapLeft((ex) -> inUse("listen", listen, ex))
			.flatMap((address) -> bindShared(core, role));
	}

	private static Either<StartFailure, Node> startAgent(ProcessCore core) {
		AgentRuntime role = new AgentRuntime(core, () -> new PoolLoad(1, 0, 0), Optional.empty());
		return bindShared(core, role);
	}

	private static Either<StartFailure, Node> bindShared(ProcessCore core, RoleRuntime role) {
		ChannelFuture peer = core.peerServer.bind(core.settings.peer().toSocketAddress()).awaitUninterruptibly();
		if (!peer.isSuccess()) {
			return Either.left(inUse("peer", core.settings.peer(), peer.cause()));
		}
		ProcessNode node = new ProcessNode(core, role, ProcessCore.portOf(peer));
		AdminServer admin = new AdminServer(core.group, node);
		ChannelFuture bound = admin.bind(core.settings.admin().toSocketAddress()).awaitUninterruptibly();
		if (!bound.isSuccess()) {
			return Either.left(inUse("admin", core.settings.admin(), bound.cause()));
		}
		node.adminPort(ProcessCore.portOf(bound));
		return Either.right(node);
	}

	private static StartFailure inUse(String section, Endpoint endpoint, Throwable cause) {
		return new StartFailure(true, "cannot listen at " + endpoint + " (settings section " + section + "): "
				+ cause.getMessage() + "; stop the process that uses the port or choose another one");
	}

}
