package org.acaciamux.internal.state.record;

import java.util.List;

/**
 * The settings of a pool as the coordination layer uses them, independent of the schema
 * version of the record. Immutable and thread-safe.
 *
 * @param name the pool's name
 * @param model whether the backend servers are model engines; false for plain services
 * @param repeatable whether every call may be repeated; false means that unsafe methods
 * need an idempotency key
 * @param loadBound the highest load of a server as a multiple of the pool's mean, above
 * 1.0 and at most 10.0
 * @param reusePreference from 0.0 for the most even load to 1.0 for the most cache reuse
 * @param candidates number of servers that rendezvous hashing selects for a chat, 1 to 8
 * @param maxConcurrency requests that one backend server runs at once, 1 to 100,000
 * @param queueLimit requests that wait at one agent, 0 to 100,000
 * @param queueWaitMs longest wait in a queue in milliseconds, 1 to 3,600,000
 * @param progressTimeoutMs longest time without progress of a response in milliseconds,
 * 100 to 3,600,000
 * @param claimPartitions number of partitions of the space of idempotency keys, 1 to 256
 * @param keyRetentionMs how long an idempotency key is remembered in milliseconds, 60,000
 * to 86,400,000
 * @param checksFence whether the backend servers reject an order with an outdated fencing
 * token
 * @param modelVersion the model version that the backend servers are ordered to load,
 * empty if they get no orders
 * @param adapters the adapters to load
 */
public record PoolSpec(String name, boolean model, boolean repeatable, double loadBound, double reusePreference,
		int candidates, int maxConcurrency, int queueLimit, long queueWaitMs, long progressTimeoutMs,
		int claimPartitions, long keyRetentionMs, boolean checksFence, String modelVersion, List<String> adapters) {

	/** Default of {@link #loadBound()}. */
	public static final double DEFAULT_LOAD_BOUND = 1.25;

	public PoolSpec {
		adapters = List.copyOf(adapters);
	}

	/**
	 * Return a pool of model engines with default settings.
	 * @param name the pool's name
	 * @return the settings
	 */
	public static PoolSpec modelDefaults(String name) {
		return new PoolSpec(name, true, true, DEFAULT_LOAD_BOUND, 0.5, 2, 64, 512, 30_000, 30_000, 16, 900_000, false,
				"", List.of());
	}

	/**
	 * Return a pool of plain services with calls that may not be repeated and default
	 * settings.
	 * @param name the pool's name
	 * @return the settings
	 */
	public static PoolSpec plainDefaults(String name) {
		return new PoolSpec(name, false, false, DEFAULT_LOAD_BOUND, 0.0, 2, 64, 512, 30_000, 30_000, 16, 900_000, false,
				"", List.of());
	}

}
