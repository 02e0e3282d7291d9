package org.acaciamux.examples.standin;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Stands in for the platform's VM list. A change that is made through a control call
 * becomes visible after the lag that is set at the time of the call. Confined to the
 * server's event loop.
 */
public final class VmListStandIn {

	private final StandInServer server = new StandInServer(this::handle);

	private final Map<String, ObjectNode> visibleVms = new LinkedHashMap<>();

	private long revision = 1;

	private long calls;

	private long lagMs;

	private boolean outage;

	private VmListStandIn(StandInOptions options) {
		this.lagMs = options.lagMs;
	}

	/**
	 * Start the stand-in and print the ready line.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		StandInOptions options = StandInOptions.parse(args);
		options.printReady(new VmListStandIn(options).server.start(options.port));
	}

	private void handle(Exchange exchange) {
		Optional<String> control = exchange.pathAfter("POST", "/control/");
		if (exchange.matches("GET", "/v1/vms")) {
			this.calls++;
			list(exchange);
		}
		else if (control.isPresent()) {
			control(exchange, control.get());
		}
		else if (exchange.matches("GET", "/control/state")) {
			exchange.reply(200, Exchange.newObject().put("calls", this.calls).put("revision", this.revision));
		}
		else {
			exchange.replyError(404, "no such path");
		}
	}

	private void list(Exchange exchange) {
		if (this.outage) {
			exchange.replyError(503, "outage");
			return;
		}
		ObjectNode answer = Exchange.newObject().put("revision", this.revision);
		ArrayNode vms = answer.putArray("vms");
		this.visibleVms.values().forEach(vms::add);
		exchange.reply(200, answer);
	}

	private void control(Exchange exchange, String command) {
		JsonNode body = exchange.json();
		switch (command) {
			case "vms" -> applyAfterLag(() -> register(body));
			case "leaving" -> applyAfterLag(() -> markLeaving(body.path("id").asText()));
			case "remove" -> applyAfterLag(() -> this.visibleVms.remove(body.path("id").asText()));
			case "lag" -> {
				this.lagMs = body.path("ms").asLong();
			}
			case "outage" -> {
				this.outage = body.path("on").asBoolean();
			}
			default -> throw new IllegalArgumentException("unknown control " + command);
		}
		exchange.reply(200, Exchange.newObject());
	}

	private void register(JsonNode entry) {
		if (entry.path("id").asText().isEmpty()) {
			return;
		}
		ObjectNode copy = entry.deepCopy();
		if (!copy.has("state")) {
			copy.put("state", "live");
		}
		this.visibleVms.put(entry.path("id").asText(), copy);
	}

	private void markLeaving(String id) {
		ObjectNode entry = this.visibleVms.get(id);
		if (entry != null) {
			entry.put("state", "leaving");
		}
	}

	private void applyAfterLag(Runnable change) {
		Runnable apply = () -> {
			change.run();
			this.revision++;
		};
		if (this.lagMs == 0) {
			apply.run();
		}
		else {
			this.server.schedule(apply, this.lagMs);
		}
	}

}
