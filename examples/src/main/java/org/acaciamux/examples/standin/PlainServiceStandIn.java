package org.acaciamux.examples.standin;

import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Stands in for a plain service, a backend server that is not a model engine. It serves
 * {@code POST /charges}, which must not run twice, and {@code GET /menu}. Counts the
 * executions of charges for each idempotency key and does not suppress duplicates, so
 * that tests see every duplicate. Confined to the server's event loop.
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
	 * Start the stand-in and print the ready line, which tells the harness the port.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		StandInOptions options = StandInOptions.parse(args);
		options.printReady(new PlainServiceStandIn(options).server.start(options.port));
	}

	private void handle(Exchange exchange) {
		if (exchange.matches("POST", "/charges")) {
			charge(exchange);
		}
		else if (exchange.matches("GET", "/menu")) {
			this.menuReads++;
			exchange.reply(200, Exchange.newObject().put("server", this.id).put("menu", "noodles"));
		}
		else if (exchange.matches("POST", "/control/charge-ms")) {
			this.chargeMs = exchange.json().path("ms").asLong();
			exchange.reply(200, state());
		}
		else if (exchange.matches("GET", "/control/state")) {
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
		ObjectNode answer = Exchange.newObject()
			.put("server", this.id)
			.put("charged", exchange.json().path("amount").asLong())
			.put("execution", this.executions.get(key));
		this.server.schedule(() -> {
			this.running--;
			exchange.reply(201, answer);
		}, this.chargeMs);
	}

	private ObjectNode state() {
		ObjectNode state = Exchange.newObject();
		state.put("menuReads", this.menuReads).put("running", this.running).put("highestRunning", this.highestRunning);
		ObjectNode counts = state.putObject("executions");
		this.executions.forEach(counts::put);
		return state;
	}

}
