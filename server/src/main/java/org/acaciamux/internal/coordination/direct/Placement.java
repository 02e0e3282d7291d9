package org.acaciamux.internal.coordination.direct;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.agrona.concurrent.NanoClock;

import org.acaciamux.internal.coordination.speed.ServerEstimate;
import org.acaciamux.internal.state.StableHash;

/**
 * Chooses the backend server of a request by the delay that the request causes: the time
 * until its own first token and the delay of the other requests at the server. A
 * returning chat goes to a server that has its prompt parts cached; further requests of a
 * hot prompt go to a second server before the first one is loaded beyond the bound.
 * Invariant: a server is loaded beyond the bound, reduced by the share for unreported
 * requests, only if every other server that was not tried yet would be too or is suspect.
 * Confined to the event loop.
 */
public final class Placement {

	/** Largest load as a multiple of the mean load of the service. */
	private static final double LOAD_BOUND = 2.0;

	/** Number of requests that a server may have above that multiple. */
	private static final int LOAD_ALLOWANCE = 2;

	/**
	 * Share of the bound reserved for the unreported requests of each other router: with
	 * 24 routers, the requests of a hot chat between two messages added up to about half
	 * of its server's bound.
	 */
	private static final double UNREPORTED_SHARE_PER_ROUTER = 0.02;

	/** Largest share of the bound that is reserved for unreported requests. */
	private static final double MAX_UNREPORTED_SHARE = 0.5;

	/**
	 * Output tokens assumed for a request without a limit; the median of the model
	 * services in use.
	 */
	private static final int DEFAULT_OUTPUT_TOKENS = 200;

	/**
	 * Share that the server ranked first by hash of the chat is assumed to miss of the
	 * tokens that no server is known to have cached: routers that do not know each
	 * other's placements yet choose the same server.
	 */
	private static final double FIRST_RANK_MISS = 0.5;

	/** The same share for the server ranked second. */
	private static final double SECOND_RANK_MISS = 0.6;

	/**
	 * Weight of prompt reading relative to other delays: reading a part again also delays
	 * the prompts that arrive next.
	 */
	private static final double READ_COST_WEIGHT = 10;

	/**
	 * Cost of a part that is copied from another server, as a share of the cost of
	 * reading it.
	 */
	private static final double COPY_COST_SHARE = 0.4;

	/** Smallest saving that makes a copy worthwhile, in tokens. */
	private static final int MIN_COPY_TOKENS = 512;

	/** Share of the running requests that a prompt being read delays noticeably. */
	private static final double DELAYED_SHARE = 0.5;

	/** Additional cost of a server that fails all of its requests, in milliseconds. */
	private static final double FAILURE_MS = 2_000;

	private final ServerTable servers;

	private final PlacementSettings settings;

	private final SendLimits limits;

	private final NanoClock clock;

	private int routers = 1;

	/**
	 * Create a placement.
	 * @param servers the backend servers
	 * @param settings assumed speeds of model engines
	 * @param limits limits of the requests to each server
	 * @param clock the monotonic clock
	 */
	public Placement(ServerTable servers, PlacementSettings settings, SendLimits limits, NanoClock clock) {
		this.servers = servers;
		this.settings = settings;
		this.limits = limits;
		this.clock = clock;
	}

	/**
	 * Choose a server.
	 * @param service the service
	 * @param request the request
	 * @param tried ids of the servers that have already been tried for the request
	 * @return the server, empty if the service has none that was not tried
	 */
	public Optional<ServerState> choose(String service, CallerRequest request, Set<String> tried) {
		List<ServerState> usable = this.servers.usable(service).stream().filter(this.limits::allows).toList();
		if (usable.isEmpty()) {
			return Optional.empty();
		}
		long now = this.clock.nanoTime();
		double limit = limit(usable, request, now);
		Candidates candidates = request.prompt().isEmpty() ? Candidates.NONE : candidates(usable, request);
		int leastMissing = leastMissing(usable, request);
		boolean spread = request.prompt().isEmpty() && (this.settings.spreadsPlainRequests()
				|| usable.stream().anyMatch((server) -> server.speed().reports()));
		ServerState best = null;
		double bestCost = 0;
		for (ServerState server : usable) {
			if (tried.contains(server.entry().id())) {
				continue;
			}
			double cost = cost(server, request, candidates, leastMissing, spread, now);
			cost += this.limits.costMs(server, request);
			cost += (server.load(now) + 1 > limit) ? Penalty.OVER_BOUND.ms : 0;
			cost += candidates.contains(server, request) ? 0 : Penalty.NOT_CANDIDATE.ms;
			cost += (!spread && server.load(now) >= server.entry().slots()) ? Penalty.NO_FREE_SLOT.ms : 0;
			cost += server.suspect(now) ? Penalty.SUSPECT.ms : 0;
			cost += (server.suspect(now) && server.refusing()) ? Penalty.REFUSING.ms : 0;
			if (best == null || cost < bestCost) {
				best = server;
				bestCost = cost;
			}
		}
		return Optional.ofNullable(best);
	}

	/**
	 * Return whether one more request keeps a server within the load bound.
	 * @param server the server
	 * @param request the request
	 * @return whether it does
	 */
	public boolean withinBound(ServerState server, CallerRequest request) {
		List<ServerState> usable = this.servers.usable(server.entry().service());
		long now = this.clock.nanoTime();
		return !usable.isEmpty() && server.load(now) + 1 <= limit(usable, request, now);
	}

	private double limit(List<ServerState> usable, CallerRequest request, long now) {
		return loadBound(usable, now) * (1 - uniform(request) * unreportedShare());
	}

	// The share of the bound that is reserved for requests that other routers have not
	// yet reported. Each request leaves a random part of it free, so that the requests
	// of a hot chat move to the next server gradually as the load of the first grows.
	private double unreportedShare() {
		return Math.min(MAX_UNREPORTED_SHARE, UNREPORTED_SHARE_PER_ROUTER * (this.routers - 1));
	}

	// A number from 0.0 to below 1.0, uniformly distributed over the requests.
	private static double uniform(CallerRequest request) {
		return (StableHash.of(request.attemptId()) >>> 40) / (double) (1 << 24);
	}

	/**
	 * Set the number of live routers, this one included.
	 * @param live the number, at least 1
	 */
	public void routers(int live) {
		this.routers = live;
	}

	private static double loadBound(List<ServerState> usable, long now) {
		long total = 0;
		for (ServerState server : usable) {
			total += server.load(now);
		}
		return LOAD_BOUND * total / usable.size() + LOAD_ALLOWANCE;
	}

	private double cost(ServerState server, CallerRequest request, Candidates candidates, int leastMissing,
			boolean spread, long now) {
		ServerEstimate estimate = server.estimate(now);
		double failures = server.failureShare() * FAILURE_MS;
		double tieBreak = tieBreak(server, request);
		double other = estimate.queueMs() + failures + tieBreak;
		if (request.prompt().isEmpty()) {
			return spread ? estimate.choiceCost(tieBreak) + failures : estimate.usedMs() + other;
		}
		int missing = server.missing(request.prompt());
		// Parts that only another server has cached are copied, the rest is read.
		double copied = (missing - leastMissing) * COPY_COST_SHARE;
		double read = leastMissing * candidates.missShare(server);
		double readMs = READ_COST_WEIGHT * (read + copied) / this.settings.promptTokensPerMs();
		double queuedMs = server.pendingTokens() / this.settings.promptTokensPerMs();
		int output = (request.maxOutputTokens() > 0) ? request.maxOutputTokens() : DEFAULT_OUTPUT_TOKENS;
		double slowerMs = 2 * estimate.load() * output * this.settings.stepMsPerRequest();
		double lostMs = estimate.lostMs(missing / this.settings.promptTokensPerMs(), output,
				this.settings.stepMsPerRequest());
		return queuedMs + readMs * (1 + DELAYED_SHARE * estimate.load()) + slowerMs + lostMs + other;
	}

	private static int leastMissing(List<ServerState> usable, CallerRequest request) {
		int least = Integer.MAX_VALUE;
		for (ServerState server : usable) {
			least = Math.min(least, server.missing(request.prompt()));
		}
		return least;
	}

	/**
	 * Choose a server from which cached prompt parts are copied.
	 * @param service the service
	 * @param request the request
	 * @param target the server that will run the request
	 * @return the server that has most of the prompt cached, empty if a copy saves too
	 * little
	 */
	public Optional<ServerState> promptSource(String service, CallerRequest request, ServerState target) {
		if (request.prompt().isEmpty()) {
			return Optional.empty();
		}
		long now = this.clock.nanoTime();
		int bestMissing = target.missing(request.prompt()) - MIN_COPY_TOKENS;
		ServerState best = null;
		for (ServerState server : this.servers.all()) {
			boolean reachable = server != target && server.entry().service().equals(service) && !server.suspect(now);
			if (reachable && server.missing(request.prompt()) < bestMissing) {
				best = server;
				bestMissing = server.missing(request.prompt());
			}
		}
		return (best != null) ? Optional.of(best) : probablePromptSource(service, request, target);
	}

	// A router that has just started does not know where the chat is cached. Other
	// routers have probably sent it to one of the first two servers by hash.
	private Optional<ServerState> probablePromptSource(String service, CallerRequest request, ServerState target) {
		int lastPartTokens = request.prompt().get(request.prompt().size() - 1).tokens();
		if (target.missing(request.prompt()) - lastPartTokens < MIN_COPY_TOKENS) {
			return Optional.empty();
		}
		Candidates candidates = candidates(this.servers.usable(service), request);
		ServerState other = (candidates.byChat().first() != target) ? candidates.byChat().first()
				: candidates.byChat().second();
		return Optional.ofNullable(other).filter((server) -> !server.suspect(this.clock.nanoTime()));
	}

	private static double tieBreak(ServerState server, CallerRequest request) {
		long weight = StableHash.weight(StableHash.of(request.attemptId()), server.idHash());
		return (weight >>> 40) / (double) (1 << 24);
	}

	private static Candidates candidates(List<ServerState> usable, CallerRequest request) {
		List<PromptPart> prompt = request.prompt();
		// The last part belongs to this request alone; the one before it identifies
		// the chat.
		PromptPart chat = prompt.get(Math.max(0, prompt.size() - 2));
		return new Candidates(ServerPair.of(usable, StableHash.of(chat.id())),
				ServerPair.of(usable, StableHash.of(request.attemptId())));
	}

	private enum Penalty {

		/** No free slot: above the cost of a copy to a server that has one. */
		NO_FREE_SLOT(20_000),

		/**
		 * Not among the candidates: above the cost of a server without a free slot, below
		 * that of one over the bound.
		 */
		NOT_CANDIDATE(50_000),

		/** Load over the bound: above every cost of a server within it. */
		OVER_BOUND(100_000),

		/** Recently unreachable: above every cost of a reachable server. */
		SUSPECT(10_000_000),

		/** Recently refused a connection: one that is only silent may serve requests. */
		REFUSING(20_000_000);

		private final double ms;

		Penalty(double ms) {
			this.ms = ms;
		}

	}

	// The first two servers by hash of the chat, and two by hash of the request.
	private record Candidates(ServerPair byChat, ServerPair byRequest) {

		private static final Candidates NONE = new Candidates(new ServerPair(null, null), new ServerPair(null, null));

		// Servers that have the chat cached and the two pairs are candidates. If each
		// router chose the least loaded of all servers, all would choose the same one.
		boolean contains(ServerState server, CallerRequest request) {
			return request.prompt().isEmpty() || this.byChat.contains(server) || this.byRequest.contains(server)
					|| server.cachesChat(request.prompt());
		}

		double missShare(ServerState server) {
			if (server == this.byChat.first()) {
				return FIRST_RANK_MISS;
			}
			return (server == this.byChat.second()) ? SECOND_RANK_MISS : 1;
		}

	}

}
