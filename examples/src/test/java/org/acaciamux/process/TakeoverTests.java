package org.acaciamux.process;

import java.util.concurrent.CompletableFuture;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.acaciamux.examples.harness.CallKeys;
import org.acaciamux.examples.harness.Caller.Answer;
import org.acaciamux.examples.harness.Daemon;
import org.acaciamux.examples.harness.Polling;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against second executions when another agent takes over the keys of an agent
 * that is killed or frozen.
 */
public class TakeoverTests {

	private TestFleet fleet;

	@BeforeMethod
	void startFleet() {
		this.fleet = TestFleet.create().withRouters(2).withWriterAgents(1).withOrderingAgents(2, 0).ready();
	}

	@AfterMethod(alwaysRun = true)
	void stopFleet() {
		if (this.fleet != null) {
			this.fleet.close();
		}
	}

	@Test
	void chargeOfKilledAgentHasUnknownOutcomeAndNeverRunsAgain() {
		setChargeMs(4000);
		String key = CallKeys.next();
		CompletableFuture<Answer> pending = this.fleet.chargeAsync(0, key);
		Polling.await("the charge runs", 30, () -> this.fleet.executions(key) == 1);
		killAgentsWithRunningCharge();
		Answer answer = pending.join();
		assertEquals(answer.header("Acaciamux-Outcome"), "unknown", answer.toString());
		Answer repeated = chargeUntilStatusIsNot503(1, key);
		assertEquals(repeated.header("Acaciamux-Outcome"), "unknown", repeated.toString());
		assertEquals(this.fleet.executions(key), 1);
	}

	@Test
	void frozenOwnerThatContinuesAfterTakeoverRunsNoChargeAgain() {
		String first = CallKeys.next();
		Daemon owner = this.fleet.agent(this.fleet.charge(0, first).header("Acaciamux-Server"));
		owner.process().freeze();
		String second = CallKeys.next();
		CompletableFuture<Answer> chargeDuringFreeze = this.fleet.chargeAsync(0, second);
		Answer afterTakeover = this.fleet.charge(1, CallKeys.next());
		assertEquals(afterTakeover.status(), 201, afterTakeover.toString());
		assertNotEquals(afterTakeover.header("Acaciamux-Server"), owner.id());
		// The answer is not checked: this charge may run once or not at all.
		this.fleet.charge(1, second);
		owner.process().unfreeze();
		chargeDuringFreeze.join();
		this.fleet.fleet.awaitReady(owner);
		assertEquals(this.fleet.charge(0, CallKeys.next()).status(), 201);
		assertTrue(this.fleet.executions(second) <= 1, "executions: " + this.fleet.executions(second));
		this.fleet.charge(0, first);
		assertEquals(this.fleet.executions(first), 1);
	}

	private Answer chargeUntilStatusIsNot503(int router, String key) {
		Answer[] lastAnswer = new Answer[1];
		Polling.await(() -> "another agent answers for the key; last answer: " + lastAnswer[0], 60, () -> {
			lastAnswer[0] = this.fleet.chargeWithoutRetry(router, key);
			return lastAnswer[0].status() != 503;
		});
		return lastAnswer[0];
	}

	private void killAgentsWithRunningCharge() {
		for (int i = 0; i < this.fleet.services.size(); i++) {
			if (this.fleet.state(this.fleet.services.get(i)).json().path("running").asInt() > 0) {
				this.fleet.orderingAgents.get(i).process().kill();
			}
		}
	}

	private void setChargeMs(long ms) {
		this.fleet.services.forEach((service) -> this.fleet.fleet.caller()
			.post(service.port(), "/control/charge-ms", "{\"ms\":" + ms + "}"));
	}

}
