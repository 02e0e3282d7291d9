package org.acaciamux.process;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.acaciamux.examples.harness.CallKeys;
import org.acaciamux.examples.harness.Caller.Answer;
import org.acaciamux.examples.harness.Daemon;

import static org.testng.Assert.assertEquals;

/**
 * Guards against a configuration that reverts, and against calls that run without a
 * claim, while the platform's object API refuses all calls.
 */
public class PlatformOutageTests {

	private TestFleet fleet;

	@BeforeMethod
	void startFleet() {
		this.fleet = TestFleet.create().withRouters(2).withWriterAgents(2).withOrderingAgents(2, 0).ready();
	}

	@AfterMethod(alwaysRun = true)
	void stopFleet() {
		if (this.fleet != null) {
			this.fleet.close();
		}
	}

	@Test
	void routerRestartedDuringOutageKeepsConfigurationInForce() {
		this.fleet.fleet.setOutage(true);
		Daemon old = this.fleet.router(0);
		old.process().kill();
		Daemon restarted = this.fleet.fleet.start(old.spec());
		this.fleet.fleet.awaitReady(restarted);
		this.fleet.fleet.awaitPool(restarted, "writer", 2);
		assertEquals(this.fleet.chat(1, "in-outage", 3).status(), 200);
	}

	@Test
	void newChargeDoesNotRunDuringOutageAndRunsOnceAfterIt() {
		assertEquals(this.fleet.charge(0, CallKeys.next()).status(), 201);
		this.fleet.fleet.setOutage(true);
		String key = CallKeys.next();
		Answer refused = this.fleet.chargeWithoutRetry(0, key);
		assertEquals(refused.status(), 503, refused.toString());
		assertEquals(this.fleet.executions(key), 0);
		this.fleet.fleet.setOutage(false);
		assertEquals(this.fleet.charge(1, key).status(), 201);
		assertEquals(this.fleet.executions(key), 1);
	}

	@Test
	void chargeRunsOnceWhenTheAnswerToItsClaimWriteIsLost() {
		assertEquals(this.fleet.charge(0, CallKeys.next()).status(), 201);
		this.fleet.fleet.caller()
			.post(this.fleet.fleet.platform().port(), "/control/lose-answers",
					"{\"count\":1,\"kind\":\"ClaimSegment\"}");
		String key = CallKeys.next();
		Answer answer = this.fleet.charge(0, key);
		assertEquals(answer.status(), 201, answer.toString());
		assertEquals(this.fleet.executions(key), 1);
	}

}
