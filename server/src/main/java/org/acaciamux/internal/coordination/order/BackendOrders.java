package org.acaciamux.internal.coordination.order;

import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;

/**
 * Interface of a model engine for orders to load a model version. Stages complete exactly
 * once and never exceptionally. Implementations are thread-safe.
 */
public interface BackendOrders {

	/**
	 * Fetch what the server has loaded and whether it is loading.
	 * @return the state
	 */
	CompletionStage<ServerState> describe();

	/**
	 * Order the server to load a model version.
	 * @param order the order
	 * @param stillValid checked immediately before the order is sent; if it returns
	 * false, the order is not sent
	 * @return the result
	 */
	CompletionStage<Result> load(LoadOrder order, BooleanSupplier stillValid);

	/**
	 * An order to load a model version. Immutable and thread-safe.
	 *
	 * @param fence the fencing number, higher than that of any earlier order
	 * @param version the model version
	 * @param adapters the adapters to load
	 */
	record LoadOrder(long fence, String version, List<String> adapters) {

		public LoadOrder {
			adapters = List.copyOf(adapters);
		}

	}

	/**
	 * State of a server. Immutable and thread-safe.
	 *
	 * @param reachability whether the server answered
	 * @param version the loaded model version, empty if none or unknown
	 * @param adapters the loaded adapters
	 * @param loading whether the server is loading
	 */
	record ServerState(Reachability reachability, String version, List<String> adapters, boolean loading) {

		public ServerState {
			adapters = List.copyOf(adapters);
		}

	}

	/**
	 * Whether a server answered.
	 */
	enum Reachability {

		/** The server answered. */
		UP,
		/** The server refused the connection, so it does not run. */
		DOWN,
		/** The server gave no usable answer. */
		SILENT

	}

	/**
	 * Result of an order.
	 */
	enum Result {

		/** The server has loaded the version. */
		DONE,
		/** The server has seen a higher fencing number and ignored the order. */
		STALE,
		/** The order was not sent. */
		NOT_SENT,
		/** The server answered that the load failed; it is no longer loading. */
		FAILED,
		/** No answer came; the server may be loading. */
		NO_ANSWER

	}

}
