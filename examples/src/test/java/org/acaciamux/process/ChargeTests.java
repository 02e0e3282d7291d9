package org.acaciamux.process;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import org.acaciamux.examples.harness.CallKeys;
import org.acaciamux.examples.harness.Caller.Answer;

import static org.testng.Assert.assertEquals;

/**
 * Guards against charges that run twice although no process fails, when a caller repeats
 * a key.
 */
public class ChargeTests {

	private TestFleet fleet;

	@BeforeClass
	void startFleet() {
		this.fleet = TestFleet.create().withRouters(2).withWriterAgents(1).withOrderingAgents(2, 300).ready();
	}

	@AfterClass(alwaysRun = true)
	void stopFleet() {
		if (this.fleet != null) {
			this.fleet.close();
		}
	}

	@Test
	void repeatedChargeIsReplayedThroughAnotherRouter() {
		String key = CallKeys.next();
		Answer first = this.fleet.charge(0, key);
		Answer second = this.fleet.charge(1, key);
		assertEquals(first.status(), 201, first.toString());
		assertEquals(second.body(), first.body(), second.toString());
		assertEquals(second.header("Acaciamux-Replayed"), "true", second.toString());
		assertEquals(this.fleet.executions(key), 1);
	}

	@Test
	void chargesWithSameKeyAtOnceThroughTwoRoutersRunOnce() {
		String key = CallKeys.next();
		List<CompletableFuture<Answer>> answers = List.of(this.fleet.chargeAsync(0, key),
				this.fleet.chargeAsync(1, key), this.fleet.chargeAsync(0, key));
		answers.forEach((answer) -> assertEquals(answer.join().status(), 201, answer.join().toString()));
		assertEquals(this.fleet.executions(key), 1);
	}

	@Test
	void sameKeyWithAnotherBodyIsRefused() {
		String key = CallKeys.next();
		this.fleet.charge(0, key);
		Answer other = this.fleet.fleet.caller()
			.send("POST", this.fleet.router(1).httpPort(), TestFleet.CHARGE_PATH, "{\"amount\":8}",
					Map.of("Idempotency-Key", key));
		assertEquals(other.status(), 422, other.toString());
		assertEquals(other.json().path("code").asText(), "key-reused");
		assertEquals(this.fleet.executions(key), 1);
	}

	@Test
	void chargeWithoutKeyIsRefusedAndDidNotRun() {
		Answer answer = this.fleet.fleet.caller()
			.post(this.fleet.router(0).httpPort(), TestFleet.CHARGE_PATH, "{\"amount\":1}");
		assertEquals(answer.status(), 400, answer.toString());
		assertEquals(answer.header("Acaciamux-Outcome"), "not-run", answer.toString());
		assertEquals(this.fleet.executions("none"), 0);
	}

}
