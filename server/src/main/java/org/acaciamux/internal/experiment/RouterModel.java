package org.acaciamux.internal.experiment;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.SplittableRandom;

import org.acaciamux.internal.coordination.direct.Admission;
import org.acaciamux.internal.coordination.direct.CallerRequest;
import org.acaciamux.internal.coordination.direct.FleetLoads;
import org.acaciamux.internal.coordination.direct.Organisation;
import org.acaciamux.internal.coordination.direct.Placement;
import org.acaciamux.internal.coordination.direct.PlacementSettings;
import org.acaciamux.internal.coordination.direct.PromptPart;
import org.acaciamux.internal.coordination.direct.RecentPlacements;
import org.acaciamux.internal.coordination.direct.ReportedLoad;
import org.acaciamux.internal.coordination.direct.RequestLimits;
import org.acaciamux.internal.coordination.direct.SendLimits;
import org.acaciamux.internal.coordination.direct.ServerEntry;
import org.acaciamux.internal.coordination.direct.ServerState;
import org.acaciamux.internal.coordination.direct.ServerTable;
import org.acaciamux.internal.coordination.direct.ServiceRoute;
import org.acaciamux.internal.coordination.direct.ServiceSpec;
import org.acaciamux.internal.coordination.direct.TrafficConfig;
import org.acaciamux.settings.Endpoint;

/**
 * A simulated router: it decides with the placement and admission classes of the real
 * router and sends messages to the other routers, but has no connections. Used by one
 * thread.
 */
final class RouterModel {

	static final String SERVICE = "engines";

	private static final double MICROS_PER_MS = 1_000;

	private final String name;

	private final ServerTable servers;

	private final Placement placement;

	private final Admission admission;

	private final FleetLoads loads;

	private final RecentPlacements placements = new RecentPlacements();

	private final ExperimentPolicy policy;

	private final SplittableRandom random;

	private long sequence;

	RouterModel(String name, ExperimentFleet fleet, ExperimentPolicy policy, Timeline timeline,
			SplittableRandom random) {
		this.name = name;
		this.policy = policy;
		this.random = random;
		this.servers = new ServerTable(timeline);
		this.admission = new Admission(timeline, policy.waitsForSlots());
		this.loads = new FleetLoads(timeline);
		this.placement = new Placement(
				this.servers, new PlacementSettings(fleet.promptTokensPerMs(),
						fleet.stepMicrosPerRequest() / MICROS_PER_MS, policy.waitsForSlots()),
				SendLimits.NONE, timeline);
		this.placement.routers(fleet.routers());
		ServiceSpec spec = new ServiceSpec(SERVICE, Integer.MAX_VALUE, fleet.plain() ? 0 : fleet.memoryTokens());
		this.servers.config(
				new TrafficConfig(1, List.of(), Map.of(SERVICE, spec), new RequestLimits(1, 1, 1, 1), Map.of(), false));
		Map<String, ServerEntry> entries = new HashMap<>();
		for (int i = 0; i < fleet.engines(); i++) {
			String id = engineId(i);
			entries.put(id, new ServerEntry(id, SERVICE, new Endpoint("127.0.0.1", 1), "a", fleet.slots(), false, 1));
		}
		this.servers.replace(entries);
	}

	static String engineId(int number) {
		return "engine-" + number;
	}

	Admission.WaitClass arrived(ServiceRoute route, String organisation) {
		return this.admission.arrived(route, Optional.of(new Organisation(organisation, OptionalInt.empty())));
	}

	Optional<ServerState> choose(CallerRequest request) {
		return this.policy.choose(this.placement, this.servers.usable(SERVICE), request, this.random);
	}

	OptionalLong refusal(ServerState server, ServiceRoute route, Admission.WaitClass waitClass) {
		return this.policy.refusal(this.admission, server, route, waitClass);
	}

	void sent(ServerState server, List<PromptPart> prompt) {
		this.placements.add(server.entry().id(), prompt);
	}

	void reported(ServerState server, ReportedLoad load, long now) {
		server.reported(this.policy.report(load), now);
	}

	void answered(long ms) {
		this.admission.answered(SERVICE, ms);
	}

	Message message() {
		Map<String, Integer> inFlight = new HashMap<>();
		for (ServerState server : this.servers.all()) {
			inFlight.put(server.entry().id(), server.inFlight());
		}
		return new Message(this.name, ++this.sequence, inFlight, this.placements.drain());
	}

	void receive(Message message) {
		this.loads.report(message.router(), 1, message.sequence(), message.inFlight());
		this.servers.peersInFlight(this.loads.inFlight());
		message.placements()
			.forEach((id, prompts) -> this.servers.find(id).ifPresent((server) -> prompts.forEach(server::addPrompt)));
	}

	/**
	 * A message from a router to the others.
	 *
	 * @param router the sender
	 * @param sequence the sequence number of the message
	 * @param inFlight the sender's requests in flight by engine
	 * @param placements prompts sent since the last message, by engine
	 */
	record Message(String router, long sequence, Map<String, Integer> inFlight,
			Map<String, List<List<PromptPart>>> placements) {
	}

}
