package org.acaciamux.internal.process;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.ObjectNode;

import org.acaciamux.internal.coordination.admission.AgentIdentity;
import org.acaciamux.internal.coordination.admission.AgentService;
import org.acaciamux.internal.coordination.membership.PoolLoadView;
import org.acaciamux.internal.protocol.wire.Frame.BodyCase;
import org.acaciamux.internal.transport.http.BackendClient;
import org.acaciamux.internal.transport.http.BackendSettings;
import org.acaciamux.settings.AgentSettings;

/**
 * The agent role: runs requests on the backend server beside it. Thread-safe.
 */
final class AgentRuntime implements RoleRuntime {

	private final AgentService service;

	private final BackendClient backend;

	AgentRuntime(ProcessCore core, PoolLoadView loads) {
		AgentSettings settings = core.settings.agent().orElseThrow();
		AgentIdentity identity = new AgentIdentity(core.settings.id(), settings.pool(), core.incarnation);
		this.backend = new BackendClient(core.group,
				BackendSettings.defaults(settings.backend().address(), settings.backend().port(), true));
		this.service = new AgentService(identity, core.records, loads, this.backend, Optional.empty(), core.clock);
		core.dispatcher.add(this.service, BodyCase.SUBMIT, BodyCase.CREDIT, BodyCase.CANCEL, BodyCase.RESUME,
				BodyCase.RESOLVE);
	}

	@Override
	public int httpPort() {
		return 0;
	}

	@Override
	public Optional<String> notReadyReason() {
		return Optional.empty();
	}

	@Override
	public void beginDrain() {
	}

	@Override
	public List<String> waitingFor() {
		return List.of();
	}

	@Override
	public void dump(ObjectNode dump) {
	}

	@Override
	public void close() {
		this.backend.close();
	}

}
