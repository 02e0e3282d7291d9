package org.acaciamux.internal.process;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;

import org.acaciamux.internal.coordination.claim.PartitionOwners;
import org.acaciamux.internal.coordination.membership.ExchangeSettings;
import org.acaciamux.internal.coordination.membership.PoolViews;
import org.acaciamux.internal.coordination.routing.RendezvousChooser;
import org.acaciamux.internal.coordination.routing.RequestRouter;
import org.acaciamux.internal.coordination.routing.RouterContext;
import org.acaciamux.internal.coordination.routing.RouterSettings;
import org.acaciamux.internal.protocol.wire.FleetReport;
import org.acaciamux.internal.protocol.wire.Frame.BodyCase;
import org.acaciamux.internal.transport.http.HttpFrontend;
import org.acaciamux.internal.transport.http.HttpLimits;
import org.acaciamux.settings.Endpoint;
import org.acaciamux.settings.LimitSettings;

/**
 * The router role: accepts callers and sends their requests to agents. Thread-safe.
 */
final class RouterRuntime implements RoleRuntime {

	private static final int TICK_MS = 50;

	private static final int VIEW_TICK_MS = 100;

	private static final int REQUEST_LINE_BYTES = 8_192;

	private static final int IDLE_CONNECTION_MS = 75_000;

	private static final long BUFFERED_BYTES = 256L << 20;

	private final ProcessCore core;

	private final PoolViews views;

	private final RequestRouter router;

	private final HttpFrontend frontend;

	private final BooleanSupplier configured;

	private volatile int httpPort;

	RouterRuntime(ProcessCore core, PartitionOwners owners, BooleanSupplier configured) {
		this.views = new PoolViews(ExchangeSettings.defaults(), core.members, core.exchangeParts());
		RouterContext context = new RouterContext(core.records, core.members, core.members,
				new ViewedPoolChooser(new RendezvousChooser(), this.views), owners, core.peerClient, configured);
		this.core = core;
		this.configured = configured;
		this.router = new RequestRouter(context, settings(core.settings.limits()), core.incarnation, core.clock,
				core.newRandom(), core.registry);
		this.frontend = new HttpFrontend(core.group, limits(core.settings.limits()), this.router);
		core.dispatcher.add(this.router, BodyCase.HEAD, BodyCase.CHUNK, BodyCase.END, BodyCase.REFUSED,
				BodyCase.RESOLUTION);
		core.dispatcher.add(this.views, BodyCase.POOL_VIEW);
		core.workers.every(this.router::tick, TICK_MS);
		core.workers.every(this.views::tick, VIEW_TICK_MS);
	}

	private static RouterSettings settings(LimitSettings limits) {
		return RouterSettings.defaults().withMaxInFlight(limits.requests());
	}

	private static HttpLimits limits(LimitSettings limits) {
		return new HttpLimits(REQUEST_LINE_BYTES, limits.headerBytes(), limits.bodyBytes(), limits.connections(),
				BUFFERED_BYTES, limits.requestTimeoutMs(), IDLE_CONNECTION_MS);
	}

	Either<IOException, InetSocketAddress> bind(Endpoint listen) {
		return this.frontend.bind(listen.toSocketAddress()).peek((address) -> this.httpPort = address.getPort());
	}

	@Override
	public int httpPort() {
		return this.httpPort;
	}

	@Override
	public Optional<String> notReadyReason() {
		return this.configured.getAsBoolean() ? Optional.empty() : Optional.of("the configuration is not known yet");
	}

	@Override
	public void beginDrain() {
		this.router.drain();
		this.frontend.drain();
	}

	@Override
	public void refuseUnanswered() {
		this.router.refuseUnanswered();
		this.frontend.refuseIncomplete();
	}

	@Override
	public List<String> waitingFor() {
		List<String> waiting = new ArrayList<>(this.router.waitingFor());
		int connections = this.frontend.connections();
		if (connections > 0) {
			waiting.add(connections + " caller connections");
		}
		return waiting;
	}

	@Override
	public FleetReport workReport() {
		return WorkReport.ofRouter(this.core);
	}

	@Override
	public void dump(ObjectNode dump) {
		dump.set("router", this.router.dump());
		dump.set("poolViewAgesMs", this.views.dump());
	}

	@Override
	public void close() {
		this.frontend.close();
	}

}
