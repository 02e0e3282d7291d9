package org.acaciamux.internal.coordination.admission;

import java.util.Iterator;
import java.util.List;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.acaciamux.internal.protocol.wire.SuspectEntry;

/**
 * Writes the state of an agent as JSON for {@code /dump}, without bodies, headers, keys
 * and chats. Thread-safe; holds no state.
 */
final class AgentDump {

	private AgentDump() {
	}

	static ObjectNode of(AgentCore core, AgentCore.PoolSnapshot pool, DrainProgress drain,
			List<SuspectEntry> suspects) {
		ObjectNode root = JsonNodeFactory.instance.objectNode();
		root.put("agent", core.identity().id()).put("pool", core.identity().pool());
		core.read(() -> {
			admission(root.putObject("admission"), core, pool);
			backlog(root.putArray("backlog"), core);
			backend(root.putObject("backend"), core);
			requests(root.putArray("recentRequests"), core);
			return null;
		});
		drain(root.putObject("drain"), drain);
		suspects(root.putArray("suspects"), suspects);
		return root;
	}

	private static void admission(ObjectNode node, AgentCore core, AgentCore.PoolSnapshot pool) {
		int load = core.admission().load();
		node.put("load", load)
			.put("limit", AdmissionControl.limit(pool.spec(), pool.load(), load))
			.put("maxConcurrency", pool.spec().maxConcurrency())
			.put("loadBound", pool.spec().loadBound())
			.put("members", pool.load().members())
			.put("othersLoad", pool.load().othersLoad())
			.put("otherHealthy", pool.load().otherHealthy())
			.put("queued", core.admission().queue().size())
			.put("queueLimit", pool.spec().queueLimit())
			.put("retryAfterMs", core.admission().retryAfterMs(core.nowMs()));
	}

	static void backlog(ArrayNode node, AgentCore core) {
		for (FairQueue.Backlog entry : core.admission().queue().backlog(core.nowMs())) {
			node.addObject()
				.put("organisation", entry.organisation())
				.put("priority", entry.priority())
				.put("count", entry.count())
				.put("oldestMs", entry.oldestMs());
		}
	}

	private static void backend(ObjectNode node, AgentCore core) {
		node.put("state", core.health().state().name()).put("incarnation", core.health().incarnation());
	}

	private static void requests(ArrayNode node, AgentCore core) {
		Iterator<RequestTrace> newestFirst = core.traces().descendingIterator();
		newestFirst.forEachRemaining((trace) -> node.add(trace.toJson()));
	}

	private static void drain(ObjectNode node, DrainProgress drain) {
		node.put("draining", drain.draining())
			.put("done", drain.done())
			.put("running", drain.running())
			.put("queued", drain.queued())
			.put("unsent", drain.unsent())
			.put("transfers", drain.transfers())
			.put("oldestMs", drain.oldestMs());
	}

	private static void suspects(ArrayNode node, List<SuspectEntry> suspects) {
		for (SuspectEntry suspect : suspects) {
			node.addObject()
				.put("fingerprint", String.format("%016x", suspect.getFingerprint()))
				.put("crashesAlone", suspect.getCrashesAlone())
				.put("crashesInCompany", suspect.getCrashesInCompany())
				.put("cleared", suspect.getCleared())
				.put("runningAt", suspect.getDesignated())
				.put("ttlMs", suspect.getTtlMs());
		}
	}

}
