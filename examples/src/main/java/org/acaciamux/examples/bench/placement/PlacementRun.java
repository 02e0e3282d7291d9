package org.acaciamux.examples.bench.placement;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

import org.acaciamux.internal.coordination.admission.AdmissionControl;
import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.coordination.membership.MemberState;
import org.acaciamux.internal.coordination.membership.PoolLoadView.PoolLoad;
import org.acaciamux.internal.state.record.PoolSpec;

/**
 * Runs the trace with one strategy. Routers choose servers by loads that lag behind.
 * Agents admit requests by {@link AdmissionControl#limit}, with the loads that they know
 * of each other. If all servers of a request redirect it, it is queued at the one whose
 * load and queue together are smallest. Network delay is not modelled. Not thread-safe.
 */
final class PlacementRun {

	private static final int DOMAINS = 4;

	private static final double EXCHANGE_INTERVAL_SECONDS = 0.5;

	private static final int REQUESTS_PER_SKEW_SAMPLE = 20;

	private static final int MOVE_SAMPLE_SIZE = 200;

	/** Marks load that {@link #preload} created; it belongs to no request. */
	private static final int NO_REQUEST = -1;

	/** Share of the requests at the start of the trace that are not measured. */
	private static final double WARM_UP_SHARE = 0.25;

	private final BenchSettings settings;

	private final Trace trace;

	private final PlacementStrategy strategy;

	private final boolean bounded;

	private final PoolSpec pool;

	private final Random random;

	private final BackendModel[] servers;

	private final Map<String, BackendModel> byId = new HashMap<>();

	private final RouterState[] routers;

	private final String[] lastServer;

	private final double[] queuedAt;

	private final PriorityQueue<Running> running = new PriorityQueue<>();

	private final RunResult result = new RunResult();

	private final double viewInterval;

	private final ArrayDeque<int[]> exchanged = new ArrayDeque<>();

	private Member[] view;

	private double nextExchange;

	private int totalLoad;

	private int exchangedTotalLoad;

	private int nextId;

	private boolean measuring;

	PlacementRun(BenchSettings settings, Trace trace, int serverCount, PlacementStrategy strategy, boolean bounded,
			PoolSpec pool) {
		this.settings = settings;
		this.trace = trace;
		this.strategy = strategy;
		this.bounded = bounded;
		this.pool = pool;
		this.random = new Random(settings.seed + 1);
		this.viewInterval = settings.viewInterval(serverCount);
		this.servers = new BackendModel[serverCount];
		this.view = new Member[serverCount];
		for (int i = 0; i < serverCount; i++) {
			addServer(i);
		}
		this.routers = new RouterState[settings.routers(serverCount)];
		for (int i = 0; i < this.routers.length; i++) {
			this.routers[i] = new RouterState(this.view, new Random(settings.seed + 2 + i),
					this.viewInterval * this.random.nextDouble());
		}
		this.lastServer = new String[trace.chatIds.length];
		this.queuedAt = new double[trace.size()];
	}

	private void addServer(int position) {
		String id = "agent-" + this.nextId++;
		this.servers[position] = new BackendModel(id, position, this.settings.cacheSize(this.servers.length));
		this.byId.put(id, this.servers[position]);
		this.view[position] = new Member(id, Member.AGENT, "127.0.0.1", 7000, "tw-north",
				"domain-" + position % DOMAINS, this.pool.name(), MemberState.LIVE, 0);
	}

	RunResult run() {
		int warmUp = (int) (this.trace.size() * WARM_UP_SHARE);
		preload();
		for (int i = 0; i < this.trace.size(); i++) {
			double now = this.trace.arrival[i];
			this.measuring = i >= warmUp;
			endRequestsUntil(now);
			if (i > 0 && i % this.settings.replaceEvery == 0) {
				replaceOne(now);
			}
			submit(i, now);
			if (this.measuring && i % REQUESTS_PER_SKEW_SAMPLE == 0) {
				sampleSkew();
			}
		}
		this.result.seconds = this.trace.arrival[this.trace.size() - 1] - this.trace.arrival[warmUp];
		this.result.viewBytesPerSecond = ControlMessageSizes.poolView(this.view) / this.viewInterval;
		return this.result;
	}

	/**
	 * Set all servers to the mean load. An empty pool would take many seconds to fill,
	 * because the limit rises only with the loads that the agents know of each other.
	 */
	private void preload() {
		for (BackendModel server : this.servers) {
			for (int i = 0; i < this.settings.meanLoad; i++) {
				double remaining = -Math.log(1.0 - this.random.nextDouble()) * this.settings.service;
				this.running.add(new Running(remaining, NO_REQUEST, server));
				server.load++;
				this.totalLoad++;
			}
		}
	}

	private void endRequestsUntil(double now) {
		while (!this.running.isEmpty() && this.running.peek().end <= now) {
			Running ended = this.running.poll();
			exchangeUntil(ended.end);
			end(ended);
		}
		exchangeUntil(now);
	}

	private void end(Running ended) {
		BackendModel server = ended.server;
		server.load--;
		this.totalLoad -= server.leaving ? 0 : 1;
		if (ended.request != NO_REQUEST) {
			this.routers[this.trace.router[ended.request]].updateLoad(server, server.load);
		}
		drainQueue(server, ended.end);
	}

	private void drainQueue(BackendModel server, double now) {
		while (!server.queue.isEmpty() && server.load + 1 <= limit(server)) {
			int request = server.queue.poll();
			if (this.measuring) {
				this.result.waitMs.recordValue((long) (1_000 * (now - this.queuedAt[request])));
			}
			start(request, server, now);
		}
	}

	private void exchangeUntil(double now) {
		while (this.nextExchange <= now) {
			exchange();
			this.nextExchange += EXCHANGE_INTERVAL_SECONDS;
		}
	}

	private void exchange() {
		int[] loads = new int[this.servers.length];
		for (int i = 0; i < loads.length; i++) {
			loads[i] = this.servers[i].load;
		}
		this.exchanged.add(loads);
		if (this.exchanged.size() > 1 + Math.round(this.settings.exchangeLag / EXCHANGE_INTERVAL_SECONDS)) {
			this.exchanged.poll();
		}
		int[] knownLoads = this.exchanged.peek();
		this.exchangedTotalLoad = 0;
		for (int i = 0; i < knownLoads.length; i++) {
			this.servers[i].exchangedLoad = knownLoads[i];
			this.view[i] = this.view[i].withLoad(knownLoads[i]);
			this.exchangedTotalLoad += knownLoads[i];
		}
		for (BackendModel server : this.servers) {
			drainQueue(server, this.nextExchange);
		}
	}

	private int limit(BackendModel server) {
		if (!this.bounded) {
			return Integer.MAX_VALUE;
		}
		return limit(this.exchangedTotalLoad - server.exchangedLoad, server.load);
	}

	private int limit(int othersLoad, int ownLoad) {
		PoolLoad others = new PoolLoad(this.servers.length, othersLoad, this.servers.length - 1);
		return AdmissionControl.limit(this.pool, others, ownLoad);
	}

	private void submit(int request, double now) {
		RouterState router = this.routers[this.trace.router[request]];
		while (router.nextView <= now) {
			router.updateView(this.view);
			router.nextView += this.viewInterval;
		}
		BackendModel lowest = null;
		for (Member member : plan(router, this.trace.chat[request])) {
			BackendModel server = this.byId.get(member.id());
			if (admits(server)) {
				start(request, server, now);
				return;
			}
			this.result.redirects += this.measuring ? 1 : 0;
			if (server.leaving) {
				router.markLeaving(server);
				continue;
			}
			router.updateLoad(server, server.load);
			lowest = isLighter(server, lowest) ? server : lowest;
		}
		enqueue(request, (lowest != null) ? lowest : this.servers[this.random.nextInt(this.servers.length)], now);
	}

	private static boolean isLighter(BackendModel server, BackendModel other) {
		return other == null || server.load + server.queue.size() < other.load + other.queue.size();
	}

	private List<Member> plan(RouterState router, int chat) {
		String token = (this.trace.keepsToken[chat]) ? this.lastServer[chat] : null;
		return this.strategy.plan(router, this.pool, this.trace.chatIds[chat], token);
	}

	private boolean admits(BackendModel server) {
		if (server.leaving) {
			return false;
		}
		return !this.bounded || server.queue.isEmpty() && server.load + 1 <= limit(server);
	}

	private void enqueue(int request, BackendModel server, double now) {
		if (server.queue.size() >= this.pool.queueLimit()) {
			this.result.refused += this.measuring ? 1 : 0;
			this.result.requests += this.measuring ? 1 : 0;
			return;
		}
		this.result.queued += this.measuring ? 1 : 0;
		this.queuedAt[request] = now;
		server.queue.add(request);
		drainQueue(server, now);
	}

	private void start(int request, BackendModel server, double now) {
		int chat = this.trace.chat[request];
		int knownLimit = limit(server);
		boolean hit = server.useContext(chat);
		server.load++;
		this.totalLoad += server.leaving ? 0 : 1;
		this.lastServer[chat] = server.id;
		RouterState router = this.routers[this.trace.router[request]];
		router.updateLoad(server, server.load);
		router.chooser.served(this.pool.name(), this.trace.chatIds[chat], server.id);
		double duration = this.settings.service * (this.trace.work[request] + (hit ? 0 : this.settings.coldCost));
		this.running.add(new Running(now + duration, request, server));
		if (this.measuring) {
			this.result.requests++;
			this.result.hits += hit ? 1 : 0;
			this.result.recordAdmission(server.load, knownLimit, limit(this.totalLoad - server.load, server.load - 1));
		}
	}

	private void sampleSkew() {
		int busiest = 0;
		for (BackendModel server : this.servers) {
			busiest = Math.max(busiest, server.load);
		}
		this.result.recordSkew(busiest, Math.max(1, this.totalLoad) / (double) this.servers.length);
	}

	private void replaceOne(double now) {
		String[] before = firstChoices();
		int position = this.random.nextInt(this.servers.length);
		BackendModel old = this.servers[position];
		old.leaving = true;
		this.totalLoad -= old.load;
		this.exchanged.forEach((loads) -> loads[position] = 0);
		this.exchangedTotalLoad -= old.exchangedLoad;
		this.view = this.view.clone();
		addServer(position);
		countMoves(before);
		while (!old.queue.isEmpty()) {
			submit(old.queue.poll(), now);
		}
	}

	private void countMoves(String[] before) {
		if (!this.measuring) {
			return;
		}
		String[] after = firstChoices();
		int moved = 0;
		for (int i = 0; i < before.length; i++) {
			moved += before[i].equals(after[i]) ? 0 : 1;
		}
		this.result.movedShareSum += moved / (double) before.length;
		this.result.replacements++;
	}

	private String[] firstChoices() {
		Member[] idle = new Member[this.view.length];
		for (int i = 0; i < idle.length; i++) {
			idle[i] = this.view[i].withLoad(0);
		}
		RouterState router = new RouterState(idle, this.random, Double.MAX_VALUE);
		String[] first = new String[MOVE_SAMPLE_SIZE];
		for (int i = 0; i < first.length; i++) {
			first[i] = plan(router, (int) ((long) i * this.lastServer.length / first.length)).get(0).id();
		}
		return first;
	}

	/**
	 * A running request.
	 *
	 * @param end when it ends, in seconds of virtual time
	 * @param request its number in the trace, or {@link #NO_REQUEST}
	 * @param server the server that runs it
	 */
	private record Running(double end, int request, BackendModel server) implements Comparable<Running> {

		@Override
		public int compareTo(Running other) {
			return Double.compare(this.end, other.end);
		}

	}

}
