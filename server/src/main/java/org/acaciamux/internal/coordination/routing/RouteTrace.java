package org.acaciamux.internal.coordination.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.acaciamux.internal.state.LockRank;
import org.acaciamux.internal.state.RankedLock;

/**
 * Records the steps of one request's route for the dump. Holds no bodies, headers, paths,
 * chats or keys. Invariant: the number of steps is bounded. Thread-safe.
 */
final class RouteTrace {

	private static final int MAX_STEPS = 24;

	private static final double NANOS_PER_MS = 1e6;

	private final RankedLock lock = new RankedLock(LockRank.LEAF);

	private final List<String> steps = new ArrayList<>();

	private final String pool;

	private final String organisation;

	private final boolean keyed;

	private final long startNanos;

	private String requestId = "";

	private String result = "in flight";

	private int omitted;

	RouteTrace(RoutedRequest request, boolean keyed, long startNanos) {
		this.pool = request.pool();
		this.organisation = request.organisation();
		this.keyed = keyed;
		this.startNanos = startNanos;
	}

	void requestId(String requestId) {
		this.lock.run(() -> this.requestId = requestId);
	}

	void step(long now, String template, Object... args) {
		String text = String.format(Locale.ROOT, "+%.1f ms ", (now - this.startNanos) / NANOS_PER_MS)
				+ String.format(Locale.ROOT, template, args);
		this.lock.run(() -> {
			if (this.steps.size() < MAX_STEPS) {
				this.steps.add(text);
			}
			else {
				this.omitted++;
			}
		});
	}

	void result(String result) {
		this.lock.run(() -> this.result = result);
	}

	ObjectNode toJson() {
		return this.lock.get(() -> {
			ObjectNode node = JsonNodeFactory.instance.objectNode();
			node.put("requestId", this.requestId);
			node.put("pool", this.pool);
			node.put("organisation", this.organisation);
			node.put("keyed", this.keyed);
			node.put("result", this.result);
			this.steps.forEach(node.withArray("steps")::add);
			node.put("stepsOmitted", this.omitted);
			return node;
		});
	}

}
