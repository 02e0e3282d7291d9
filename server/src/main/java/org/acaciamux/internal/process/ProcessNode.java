package org.acaciamux.internal.process;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.acaciamux.Acaciamux;
import org.acaciamux.Node;
import org.acaciamux.internal.coordination.configuration.ConfigurationSync;
import org.acaciamux.internal.event.EventLog;
import org.acaciamux.internal.transport.admin.AdminPages;

/**
 * A running process. Invariant: a drain begins at most once. Thread-safe.
 */
final class ProcessNode implements Node, AdminPages {

	private static final int DRAIN_POLL_MS = 50;

	private static final int DRAIN_REPORT_MS = 5_000;

	/**
	 * Time at the end of a drain's timeout in which refusals reach their callers, in
	 * milliseconds; at most half of the timeout.
	 */
	private static final int REFUSAL_MS = 1_000;

	private final ProcessCore core;

	private final RoleRuntime role;

	private final ConfigurationSync configuration;

	private final int peerPort;

	private final AtomicBoolean draining = new AtomicBoolean();

	private volatile int adminPort;

	ProcessNode(ProcessCore core, ConfigurationSync configuration, RoleRuntime role, int peerPort) {
		this.core = core;
		this.configuration = configuration;
		this.role = role;
		this.peerPort = peerPort;
	}

	void adminPort(int port) {
		this.adminPort = port;
	}

	@Override
	public int httpPort() {
		return this.role.httpPort();
	}

	@Override
	public int peerPort() {
		return this.peerPort;
	}

	@Override
	public int adminPort() {
		return this.adminPort;
	}

	@Override
	public Optional<String> notReadyReason() {
		if (this.draining.get()) {
			return Optional.of("draining");
		}
		if (this.core.members.ownNetworkLost()) {
			return Optional.of("most agents in more than one failure domain are unreachable; own network is lost");
		}
		if (!this.configuration.ready()) {
			return Optional.of("the configuration is not known yet");
		}
		return this.role.notReadyReason();
	}

	@Override
	public String metrics() {
		return MetricsText.write(this.core.registry);
	}

	@Override
	public JsonNode status() {
		ObjectNode status = JsonNodeFactory.instance.objectNode();
		status.put("id", this.core.settings.id());
		status.put("role", this.core.settings.role().text());
		status.put("version", Acaciamux.VERSION);
		status.put("failureDomain", this.core.settings.failureDomain());
		status.put("ready", notReadyReason().isEmpty());
		notReadyReason().ifPresent((reason) -> status.put("notReadyReason", reason));
		status.put("draining", this.draining.get());
		status.put("revision", this.core.records.revision());
		this.role.waitingFor().forEach(status.withArray("inFlight")::add);
		return status;
	}

	@Override
	public JsonNode dump() {
		ObjectNode dump = JsonNodeFactory.instance.objectNode();
		dump.set("process", status());
		dump.set("configuration", this.configuration.dump());
		dump.set("members", this.core.members.dump());
		this.role.dump(dump);
		return dump;
	}

	/**
	 * Start the drain that {@code POST /drain} requests. The process accepts no new work
	 * but keeps running, so that operators can inspect it.
	 */
	@Override
	public void beginDrain() {
		if (this.draining.compareAndSet(false, true)) {
			EventLog.log(ProcessEvent.DRAIN_STARTED);
			this.role.beginDrain();
		}
	}

	@Override
	public boolean drain() {
		long start = this.core.nowMs();
		beginDrain();
		long timeoutMs = this.core.settings.limits().drainTimeoutMs();
		long refuseMs = Math.max(timeoutMs - REFUSAL_MS, timeoutMs / 2);
		boolean refused = false;
		long lastReport = start;
		List<String> waiting = this.role.waitingFor();
		while (!waiting.isEmpty()) {
			long now = this.core.nowMs();
			if (timeoutMs > 0 && now - start >= timeoutMs) {
				EventLog.log(ProcessEvent.DRAIN_FINISHED,
						"the timeout of " + timeoutMs + " ms passed; given up: " + waiting);
				return false;
			}
			if (timeoutMs > 0 && !refused && now - start >= refuseMs) {
				refused = true;
				EventLog.log(ProcessEvent.DRAIN_REFUSES, timeoutMs - (now - start), waiting);
				this.role.refuseUnanswered();
			}
			if (now - lastReport >= DRAIN_REPORT_MS) {
				lastReport = now;
				EventLog.log(ProcessEvent.DRAIN_WAITING, waiting);
			}
			if (!sleepUntilNextPoll()) {
				return false;
			}
			waiting = this.role.waitingFor();
		}
		EventLog.log(ProcessEvent.DRAIN_FINISHED, "everything in flight has ended");
		return true;
	}

	private static boolean sleepUntilNextPoll() {
		try {
			Thread.sleep(DRAIN_POLL_MS);
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	@Override
	public void close() {
		this.role.close();
		this.core.close();
	}

}
