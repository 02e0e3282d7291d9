package org.acaciamux.examples.standin;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Handles orders to the engine stand-in to load a version or change its role. An order
 * whose fencing number is below the highest one received is refused if
 * {@code --checks-fence} is set; otherwise it is carried out and counted. Not
 * thread-safe.
 */
final class EngineOrders {

	private final boolean checksFence;

	private final String weights;

	private final HttpClient client = HttpClient.newHttpClient();

	private long highestFence;

	private long accepted;

	private long refused;

	private long acceptedOld;

	private boolean loading;

	private String version = "";

	private String role = "mixed";

	private JsonNode adapters = Exchange.newObject().arrayNode();

	EngineOrders(boolean checksFence, String weights) {
		this.checksFence = checksFence;
		this.weights = weights;
	}

	ObjectNode describe(String incarnation) {
		ObjectNode state = Exchange.newObject()
			.put("incarnation", incarnation)
			.put("version", this.version)
			.put("role", this.role)
			.put("loading", this.loading)
			.put("highestFence", this.highestFence)
			.put("ordersAccepted", this.accepted)
			.put("ordersRefused", this.refused)
			.put("oldOrdersObeyed", this.acceptedOld);
		state.set("adapters", this.adapters);
		return state;
	}

	void handle(Exchange exchange) {
		JsonNode order = exchange.json();
		long fence = order.path("fence").asLong();
		if (fence < this.highestFence && this.checksFence) {
			this.refused++;
			exchange.reply(409, Exchange.newObject().put("highestFence", this.highestFence));
			return;
		}
		this.acceptedOld += (fence < this.highestFence) ? 1 : 0;
		this.highestFence = Math.max(fence, this.highestFence);
		this.accepted++;
		if (order.path("action").asText().equals("role")) {
			this.role = order.path("role").asText();
			exchange.reply(200, Exchange.newObject());
			return;
		}
		load(exchange, order);
	}

	private void load(Exchange exchange, JsonNode order) {
		if (this.weights.isEmpty()) {
			finishLoad(exchange, order);
			return;
		}
		this.loading = true;
		URI uri = URI.create("http://" + this.weights + "/v1/weights/" + order.path("version").asText("none"));
		this.client.sendAsync(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.discarding())
			.whenComplete((response, failure) -> exchange.execute(() -> handleDownloadEnd(exchange, order, failure)));
	}

	private void handleDownloadEnd(Exchange exchange, JsonNode order, Throwable failure) {
		this.loading = false;
		if (failure != null) {
			exchange.replyError(502, "cannot load from the weight store: " + failure);
			return;
		}
		finishLoad(exchange, order);
	}

	private void finishLoad(Exchange exchange, JsonNode order) {
		this.version = order.path("version").asText();
		this.adapters = order.path("adapters").isArray() ? order.path("adapters") : this.adapters;
		exchange.reply(200, Exchange.newObject().put("version", this.version));
	}

}
