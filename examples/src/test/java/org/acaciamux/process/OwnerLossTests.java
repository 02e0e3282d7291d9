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

/**
 * Guards against second executions when the agent that owns a charge's key is killed and
 * restarted or shuts down.
 */
public class OwnerLossTests {

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
	void killedAgentServesAgainAfterRestartAndRepeatsNoCharge() {
		String key = CallKeys.next();
		Daemon owner = this.fleet.agent(this.fleet.charge(0, key).header("Acaciamux-Server"));
		owner.process().kill();
		Daemon restarted = this.fleet.fleet.start(owner.spec());
		this.fleet.fleet.awaitReady(restarted);
		this.fleet.fleet.awaitPool(this.fleet.router(0), "ordering", 2);
		this.fleet.fleet.awaitPool(this.fleet.router(1), "ordering", 2);
		assertEquals(this.fleet.charge(1, CallKeys.next()).status(), 201);
		this.fleet.charge(0, key);
		assertEquals(this.fleet.executions(key), 1);
	}

	@Test
	void agentFinishesChargeAfterSigtermAndNextOwnerServes() {
		setChargeMs(1500);
		String key = CallKeys.next();
		CompletableFuture<Answer> pending = this.fleet.chargeAsync(0, key);
		Polling.await("the charge runs", 30, () -> this.fleet.executions(key) == 1);
		int running = this.fleet.state(this.fleet.services.get(0)).json().path("running").asInt();
		Daemon agent = this.fleet.orderingAgents.get((running > 0) ? 0 : 1);
		agent.process().terminate();
		assertEquals(pending.join().status(), 201, pending.join().toString());
		assertEquals(agent.process().awaitExit(60), 0);
		assertEquals(this.fleet.charge(1, CallKeys.next()).status(), 201);
		this.fleet.charge(1, key);
		assertEquals(this.fleet.executions(key), 1);
	}

	private void setChargeMs(long ms) {
		this.fleet.services.forEach((service) -> this.fleet.fleet.caller()
			.post(service.port(), "/control/charge-ms", "{\"ms\":" + ms + "}"));
	}

}
