package org.acaciamux.internal.coordination.order;

import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;

/**
 * The side of a model engine that takes orders. Stages complete exactly once and never
 * exceptionally. Implementations are thread-safe.
 */
public interface BackendOrders {

	/**
	 * Ask the server what it has loaded.
	 * @return the state
	 */
	CompletionStage<ServerState> describe();

	/**
	 * Order the server to load a version.
	 * @param order the order
	 * @param stillValid asked directly before the order leaves; it is not sent if false
	 * @return the result
	 */
	CompletionStage<Result> load(LoadOrder order, BooleanSupplier stillValid);

	/**
	 * An order. Immutable and thread-safe.
	 *
	 * @param fence the fencing number, higher than that of any order before
	 * @param version the model version
	 * @param adapters the adapters
	 */
	record LoadOrder(long fence, String version, List<String> adapters) {

		public LoadOrder {
			adapters = List.copyOf(adapters);
		}

	}

	/**
	 * State of a server. Immutable and thread-safe.
	 *
	 * @param reach whether it answered
	 * @param version the loaded version, empty if none or unknown
	 * @param adapters the loaded adapters
	 * @param loading whether it is loading
	 */
	record ServerState(Reach reach, String version, List<String> adapters, boolean loading) {

		public ServerState {
			adapters = List.copyOf(adapters);
		}

	}

	/**
	 * Whether a server answered.
	 */
	enum Reach {

		/** It answered. */
		UP,
		/** It refused the connection, so it does not run. */
		DOWN,
		/** It gave no usable answer. */
		SILENT

	}

	/**
	 * Result of an order.
	 */
	enum Result {

		/** The server has loaded the version. */
		DONE,
		/** The server has seen a higher fencing number and did nothing. */
		STALE,
		/** The order was not sent. */
		NOT_SENT,
		/** The server answered that the load failed; it does not load any more. */
		FAILED,
		/** No answer came; the server may be loading. */
		NO_ANSWER

	}

}
