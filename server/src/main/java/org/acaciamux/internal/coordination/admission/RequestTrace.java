package org.acaciamux.internal.coordination.admission;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.acaciamux.internal.protocol.wire.RequestId;
import org.acaciamux.internal.protocol.wire.Submit;

/**
 * The steps of one request, for {@code /dump}. Invariant: holds no body, header, key,
 * chat or query, and at most {@link #MAX_STEPS} steps. Not thread-safe.
 */
final class RequestTrace {

	private static final int MAX_STEPS = 12;

	private static final int MAX_PATH_CHARS = 120;

	private final ObjectNode node = JsonNodeFactory.instance.objectNode();

	private final ArrayNode steps;

	private final long startMs;

	RequestTrace(Submit submit, long startMs) {
		this.startMs = startMs;
		String path = submit.getPath().split("\\?", 2)[0];
		this.node.put("requestId", name(submit.getId()))
			.put("organisation", submit.getOrganisation())
			.put("priority", submit.getPriority())
			.put("method", submit.getMethod())
			.put("path", path.substring(0, Math.min(MAX_PATH_CHARS, path.length())))
			.put("deadlineMs", Integer.toUnsignedLong(submit.getDeadlineMs()))
			.put("keyed", submit.getKeyed())
			.put("final", submit.getFinalTrial())
			.put("bodyBytes", submit.getBody().size());
		this.steps = this.node.putArray("steps");
	}

	void step(String description, long nowMs) {
		if (this.steps.size() < MAX_STEPS) {
			this.steps.add("+" + (nowMs - this.startMs) + " ms " + description);
		}
	}

	ObjectNode toJson() {
		return this.node.deepCopy();
	}

	static String name(RequestId id) {
		return Long.toHexString(id.getIncarnation()) + "-" + id.getSequence();
	}

}
