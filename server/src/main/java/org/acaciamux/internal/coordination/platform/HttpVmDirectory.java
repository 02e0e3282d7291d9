package org.acaciamux.internal.coordination.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;

import org.acaciamux.internal.transport.http.PlatformHttpClient;

/**
 * The platform's VM list over HTTP. Thread-safe.
 */
public final class HttpVmDirectory implements VmDirectory {

	private static final byte[] NO_BODY = {};

	private final PlatformHttpClient client;

	private final CallBudget budget;

	private final long timeoutMs;

	/**
	 * Create a client of the VM list.
	 * @param client the HTTP client
	 * @param budget the budget of this process for platform calls
	 * @param timeoutMs the timeout of a call in milliseconds, 1 to 60,000
	 */
	public HttpVmDirectory(PlatformHttpClient client, CallBudget budget, long timeoutMs) {
		this.client = client;
		this.budget = budget;
		this.timeoutMs = timeoutMs;
	}

	@Override
	public CompletionStage<Either<StoreFailure, VmList>> list() {
		if (!this.budget.tryCall()) {
			return CompletableFuture.completedFuture(PlatformReplies
				.unavailable("The VM list was not read because this process has used up its budget of platform calls"));
		}
		return this.client.call(HttpMethod.GET, "/v1/vms", NO_BODY, this.timeoutMs)
			.thenApply((reply) -> PlatformReplies.read(reply, (body) -> Either.right(vms(body))));
	}

	private static VmList vms(JsonNode body) {
		List<VmEntry> entries = new ArrayList<>();
		body.path("vms").forEach((vm) -> entries.add(entry(vm)));
		return new VmList(body.path("revision").asLong(), entries);
	}

	private static VmEntry entry(JsonNode vm) {
		return new VmEntry(vm.path("id").asText(), vm.path("role").asText(), vm.path("address").asText(),
				vm.path("peerPort").asInt(), vm.path("httpPort").asInt(), vm.path("region").asText(),
				vm.path("failureDomain").asText(), vm.path("pool").asText(),
				"leaving".equals(vm.path("state").asText()));
	}

}
