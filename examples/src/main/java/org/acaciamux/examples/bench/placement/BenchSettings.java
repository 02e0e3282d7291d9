package org.acaciamux.examples.bench.placement;

import java.util.List;

import com.beust.jcommander.Parameter;

/**
 * Settings of {@link PlacementBench}. Durations are in seconds. The default load follows
 * from the two-year target of 4.5 million tokens and 18,000 requests per second. This is
 * 250 tokens per request, which take 5 s at 20 ms each. With 2,200 servers it is 8.2
 * requests per second and server, so the mean load of a server is about 40. Set once from
 * the command line, then only read.
 */
final class BenchSettings {

	@Parameter(names = "--servers", description = "Backend servers; one run for each number")
	List<Integer> servers = List.of(26, 2_200);

	@Parameter(names = "--requests", description = "Requests of a run; 0: 800,000")
	int requests = 0;

	@Parameter(names = "--routers", description = "Routers; 0: 40, or 360 from 1,000 servers on")
	int routers = 0;

	@Parameter(names = "--chats-per-server",
			description = "Chats for each server; 0: 400, or 100 from 1,000 servers on")
	int chatsPerServer = 0;

	@Parameter(names = "--cache-share", description = "Contexts that a server holds, as a part of its share of chats")
	double cacheShare = 0.75;

	@Parameter(names = "--zipf", description = "Exponent of the popularity of chats")
	double zipf = 0.8;

	@Parameter(names = "--mix",
			description = "prefixes: independent draws; conversations: a chat returns only after its last answer")
	String mix = "prefixes";

	@Parameter(names = "--mean-load", description = "Mean load of a server if every request found its context")
	double meanLoad = 40.0;

	@Parameter(names = "--service", description = "Mean duration of a request that finds its context")
	double service = 5.0;

	@Parameter(names = "--cold-cost", description = "Duration that a missing context adds, as a part of --service")
	double coldCost = 0.5;

	@Parameter(names = "--replace-every", description = "Requests between two replacements of a server")
	int replaceEvery = 4_000;

	@Parameter(names = "--token-loss", description = "Share of callers that do not return the affinity token")
	double tokenLoss = 0.2;

	@Parameter(names = "--exchange-lag", description = "Age of the loads that agents know of each other")
	double exchangeLag = 1.0;

	@Parameter(names = "--view-interval",
			description = "Time between two pool views of a router; 0: 2, or 10 from 1,000 servers on")
	double viewInterval = 0;

	@Parameter(names = "--candidates", description = "Candidate servers of a chat")
	int candidates = 2;

	@Parameter(names = "--bound", description = "Load bound of the pool")
	double bound = 1.25;

	@Parameter(names = "--ways",
			description = "Run only strategies whose name contains one of these texts, and the plain hash")
	List<String> strategies = List.of();

	@Parameter(names = "--threads", description = "Strategies that run at once")
	int threads = 3;

	@Parameter(names = "--seed", description = "Seed of the trace")
	long seed = 1;

	int requests(int servers) {
		return valueOrDefault(this.requests, servers, 800_000, 800_000);
	}

	int chats(int servers) {
		return servers * chatsPerServer(servers);
	}

	int cacheSize(int servers) {
		return (int) Math.max(1, this.cacheShare * chatsPerServer(servers));
	}

	private int chatsPerServer(int servers) {
		return valueOrDefault(this.chatsPerServer, servers, 400, 100);
	}

	int routers(int servers) {
		return valueOrDefault(this.routers, servers, 40, 360);
	}

	double viewInterval(int servers) {
		return (this.viewInterval > 0) ? this.viewInterval : valueOrDefault(0, servers, 2, 10);
	}

	private static int valueOrDefault(int value, int servers, int smallPoolDefault, int largePoolDefault) {
		if (value > 0) {
			return value;
		}
		return (servers < 1_000) ? smallPoolDefault : largePoolDefault;
	}

}
