package org.acaciamux.examples.standin;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Stands in for the platform's VM list. A change made through the control page becomes
 * visible after the lag that is set when it is made. Confined to the server's event loop.
 */
public final class VmListStandIn {

	private final StandInServer server = new StandInServer(this::handle);

	private final Map<String, ObjectNode> visible = new LinkedHashMap<>();

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
		Optional<String> control = exchange.under("POST", "/control/");
		if (exchange.is("GET", "/v1/vms")) {
			this.calls++;
			list(exchange);
		}
		else if (control.isPresent()) {
			control(exchange, control.get());
		}
		else if (exchange.is("GET", "/control/state")) {
			exchange.reply(200, Exchange.object().put("calls", this.calls).put("revision", this.revision));
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
		ObjectNode answer = Exchange.object().put("revision", this.revision);
		ArrayNode vms = answer.putArray("vms");
		this.visible.values().forEach(vms::add);
		exchange.reply(200, answer);
	}

	private void control(Exchange exchange, String what) {
		JsonNode body = exchange.json();
		switch (what) {
			case "vms" -> later(() -> register(body));
			case "leaving" -> later(() -> markLeaving(body.path("id").asText()));
			case "remove" -> later(() -> this.visible.remove(body.path("id").asText()));
			case "lag" -> {
				this.lagMs = body.path("ms").asLong();
			}
			case "outage" -> {
				this.outage = body.path("on").asBoolean();
			}
			default -> throw new IllegalArgumentException("unknown control " + what);
		}
		exchange.reply(200, Exchange.object());
	}

	private void register(JsonNode entry) {
		if (entry.path("id").asText().isEmpty()) {
			return;
		}
		ObjectNode copy = entry.deepCopy();
		if (!copy.has("state")) {
			copy.put("state", "live");
		}
		this.visible.put(entry.path("id").asText(), copy);
	}

	private void markLeaving(String id) {
		ObjectNode entry = this.visible.get(id);
		if (entry != null) {
			entry.put("state", "leaving");
		}
	}

	private void later(Runnable change) {
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
