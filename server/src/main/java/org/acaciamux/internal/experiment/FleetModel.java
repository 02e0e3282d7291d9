package org.acaciamux.internal.experiment;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.acaciamux.internal.coordination.direct.ExchangePolicy;
import org.acaciamux.internal.coordination.direct.PromptPart;
import org.acaciamux.internal.coordination.direct.RouteKind;
import org.acaciamux.internal.coordination.direct.ServiceRoute;

/**
 * One run of an experiment: routers, engines and callers in virtual time. The same seed
 * gives the same run, and the same arrivals for each policy. Used by one thread.
 */
final class FleetModel {

	/** Time after the load in which the requests in flight end, in milliseconds. */
	private static final double DRAIN_MS = 30_000;

	/** Exponent of the Zipf distributions of chats and organisations. */
	private static final double ZIPF_EXPONENT = 0.8;

	private static final double MS_PER_SECOND = 1_000;

	/** Separates the random numbers of slow periods from those of arrivals. */
	private static final long NOISE_SEED = 0x5DEECE66DL;

	private final Timeline timeline = new Timeline();

	private final Outcomes outcomes = new Outcomes();

	private final Map<String, SimulatedServer> engines = new LinkedHashMap<>();

	private final List<RouterModel> routers = new ArrayList<>();

	private final ExperimentFleet fleet;

	private final ExperimentLoad load;

	private final SplittableRandom arrivalRandom;

	private final SplittableRandom random;

	private final double[] organisationDistribution;

	private long requests;

	private int longestQueue;

	FleetModel(long seed, ExperimentFleet fleet, ExperimentLoad load, ExperimentPolicy policy) {
		this.fleet = fleet;
		this.load = load;
		SplittableRandom root = new SplittableRandom(seed);
		this.arrivalRandom = root.split();
		this.random = root.split();
		this.organisationDistribution = zipf(load.organisations());
		SplittableRandom noiseRandom = new SplittableRandom(seed ^ NOISE_SEED);
		for (int i = 0; i < fleet.engines(); i++) {
			ServerNoise noise = new ServerNoise(fleet.noise(), noiseRandom.split());
			this.engines.put(RouterModel.engineId(i), fleet.plain() ? new PlainServerModel(fleet, noise, this.timeline)
					: new EngineModel(fleet, noise, this.timeline));
		}
		for (int i = 0; i < fleet.routers(); i++) {
			this.routers.add(new RouterModel("router-" + i, fleet, policy, this.timeline, root.split()));
		}
	}

	/**
	 * Run the experiment to its end.
	 * @return how the requests ended
	 */
	Outcomes run() {
		for (RouterModel router : this.routers) {
			this.timeline.after(this.random.nextDouble() * ExchangePolicy.PACE_MS,
					() -> this.timeline.every(ExchangePolicy.PACE_MS, () -> exchange(router)));
		}
		this.load.kinds().forEach((kind) -> nextArrival(new Arrivals(kind, zipf(kind.chats()), route(kind))));
		this.timeline.runUntil(this.load.seconds() * MS_PER_SECOND + DRAIN_MS);
		return this.outcomes;
	}

	private ServiceRoute route(ExperimentLoad.Kind kind) {
		return new ServiceRoute(kind.name(), "", "/", this.fleet.plain() ? RouteKind.IDEMPOTENT : RouteKind.STREAMING,
				List.of(new ServiceRoute.Target(RouterModel.SERVICE, 1)), kind.limitMs(), kind.goalMs(), kind.goalMs(),
				1, kind.rank(), true, false);
	}

	private void exchange(RouterModel sender) {
		RouterModel.Message message = sender.message();
		List<RouterModel> others = this.routers.stream().filter((router) -> router != sender).toList();
		for (RouterModel other : ExchangePolicy.receivers(others, this.random)) {
			this.timeline.after(this.fleet.hopMs(), () -> other.receive(message));
		}
	}

	// Draws arrivals at the highest rate and drops some of them where the rate is lower
	// (thinning), so that all policies and surges use the same random numbers.
	private void nextArrival(Arrivals arrivals) {
		double peak = this.load.surges().stream().mapToDouble(ExperimentLoad.Surge::times).max().orElse(1);
		double rate = arrivals.kind.perSecond() / arrivals.kind.clump() * Math.max(1, peak);
		double waitMs = -Math.log(1 - this.arrivalRandom.nextDouble()) / rate * MS_PER_SECOND;
		this.timeline.after(waitMs, () -> {
			if (this.timeline.ms() >= this.load.seconds() * MS_PER_SECOND) {
				return;
			}
			int organisation = pick(this.organisationDistribution, this.arrivalRandom.nextDouble());
			int chat = pick(arrivals.chatDistribution, this.arrivalRandom.nextDouble());
			if (this.arrivalRandom.nextDouble() * Math.max(1, peak) < rateFactor(organisation)) {
				for (int i = 0; i < arrivals.kind.clump(); i++) {
					arrive(arrivals, organisation, chat);
				}
			}
			nextArrival(arrivals);
		});
	}

	private double rateFactor(int organisation) {
		double second = this.timeline.ms() / MS_PER_SECOND;
		double factor = 1;
		for (ExperimentLoad.Surge surge : this.load.surges()) {
			boolean affected = surge.organisation() == 0 || surge.organisation() == organisation + 1;
			factor = (affected && surge.covers(second)) ? Math.max(factor, surge.times()) : factor;
		}
		return factor;
	}

	private void arrive(Arrivals arrivals, int organisation, int chat) {
		String id = "request-" + this.requests++;
		String chatId = arrivals.kind.name() + "-" + chat;
		List<PromptPart> prompt = this.fleet.plain() ? List.of() : List
			.of(new PromptPart(chatId, arrivals.kind.sharedTokens()), new PromptPart(id, arrivals.kind.ownTokens()));
		new CallerModel(this, arrivals.kind, arrivals.route, "organisation-" + (organisation + 1), prompt, id).send();
	}

	private static double[] zipf(int size) {
		double[] cumulative = new double[size];
		double sum = 0;
		for (int i = 0; i < size; i++) {
			sum += 1 / Math.pow(i + 1, ZIPF_EXPONENT);
			cumulative[i] = sum;
		}
		for (int i = 0; i < size; i++) {
			cumulative[i] /= sum;
		}
		return cumulative;
	}

	private static int pick(double[] cumulative, double uniform) {
		int index = Arrays.binarySearch(cumulative, uniform);
		return Math.min(cumulative.length - 1, (index >= 0) ? index + 1 : -index - 1);
	}

	RouterModel router() {
		return this.routers.get(this.random.nextInt(this.routers.size()));
	}

	SimulatedServer engine(String id) {
		return this.engines.get(id);
	}

	Timeline timeline() {
		return this.timeline;
	}

	Outcomes outcomes() {
		return this.outcomes;
	}

	SplittableRandom random() {
		return this.random;
	}

	double hopMs() {
		return this.fleet.hopMs();
	}

	/**
	 * Return the share of prompt tokens that engines did not have to read.
	 * @return 0.0 to 1.0
	 */
	double reused() {
		List<EngineModel> models = this.engines.values()
			.stream()
			.filter(EngineModel.class::isInstance)
			.map(EngineModel.class::cast)
			.toList();
		long read = models.stream().mapToLong(EngineModel::readTokens).sum();
		long reused = models.stream().mapToLong(EngineModel::reusedTokens).sum();
		return (double) reused / Math.max(1, read + reused);
	}

	void accepted(SimulatedServer server) {
		this.longestQueue = Math.max(this.longestQueue, server.load().waiting());
	}

	int longestQueue() {
		return this.longestQueue;
	}

	private record Arrivals(ExperimentLoad.Kind kind, double[] chatDistribution, ServiceRoute route) {
	}

}
