package org.acaciamux.examples.standin;

import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Stands in for a plain service with calls that must not run twice: {@code POST /charges}
 * and {@code GET /menu}. Counts each execution per idempotency key, without suppressing
 * duplicates, so that a test sees every duplicate. Confined to the server's event loop.
 */
public final class PlainServiceStandIn {

	private final StandInServer server = new StandInServer(this::handle);

	private final Map<String, Integer> executions = new LinkedHashMap<>();

	private final String id;

	private long chargeMs;

	private long menuReads;

	private int running;

	private int highestRunning;

	private PlainServiceStandIn(StandInOptions options) {
		this.id = options.id;
		this.chargeMs = options.chargeMs;
	}

	/**
	 * Start the stand-in and print the ready line.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		StandInOptions options = StandInOptions.parse(args);
		options.printReady(new PlainServiceStandIn(options).server.start(options.port));
	}

	private void handle(Exchange exchange) {
		if (exchange.is("POST", "/charges")) {
			charge(exchange);
		}
		else if (exchange.is("GET", "/menu")) {
			this.menuReads++;
			exchange.reply(200, Exchange.object().put("server", this.id).put("menu", "noodles"));
		}
		else if (exchange.is("POST", "/control/charge-ms")) {
			this.chargeMs = exchange.json().path("ms").asLong();
			exchange.reply(200, state());
		}
		else if (exchange.is("GET", "/control/state")) {
			exchange.reply(200, state());
		}
		else {
			exchange.replyError(404, "no such path");
		}
	}

	private void charge(Exchange exchange) {
		String key = exchange.header("Idempotency-Key", "none");
		this.executions.merge(key, 1, Integer::sum);
		this.running++;
		this.highestRunning = Math.max(this.highestRunning, this.running);
		ObjectNode answer = Exchange.object()
			.put("server", this.id)
			.put("charged", exchange.json().path("amount").asLong())
			.put("execution", this.executions.get(key));
		this.server.schedule(() -> {
			this.running--;
			exchange.reply(201, answer);
		}, this.chargeMs);
	}

	private ObjectNode state() {
		ObjectNode state = Exchange.object();
		state.put("menuReads", this.menuReads).put("running", this.running).put("highestRunning", this.highestRunning);
		ObjectNode counts = state.putObject("executions");
		this.executions.forEach(counts::put);
		return state;
	}

}
