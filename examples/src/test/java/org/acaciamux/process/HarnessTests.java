package org.acaciamux.process;

import java.util.List;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.acaciamux.examples.harness.Caller;
import org.acaciamux.examples.harness.Caller.Answer;
import org.acaciamux.examples.harness.ManagedProcess;
import org.acaciamux.examples.harness.Polling;
import org.acaciamux.examples.harness.ProcessHarness;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests the faults that the stand-ins inject. Other tests rely on them: if a fault did
 * not occur, those tests would pass without checking anything.
 */
public class HarnessTests {

	private static final String STAND_IN_PACKAGE = "org.acaciamux.examples.standin.";

	private final Caller caller = new Caller();

	private ProcessHarness harness;

	@BeforeMethod
	void createHarness() {
		this.harness = ProcessHarness.small();
	}

	@AfterMethod(alwaysRun = true)
	void endProcesses() {
		this.harness.close();
	}

	@Test
	void closeAlsoEndsFrozenProcesses() {
		ManagedProcess frozen = startStandIn("VmListStandIn");
		frozen.freeze();
		this.harness.close();
		assertFalse(frozen.isAlive());
		createHarness();
	}

	/**
	 * Processes that fail beside load cannot be examined afterwards.
	 */
	@Test
	void descriptionOfTheProcessesTellsHowEachEndedAndWhatItPrinted() {
		startStandIn("VmListStandIn").kill();
		startStandIn("PlatformStandIn");
		String description = this.harness.describe();
		assertTrue(description.contains("VmListStandIn (ended with code 137):\n  ready {"), description);
		assertTrue(description.contains("PlatformStandIn (running):\n  ready {"), description);
	}

	@Test
	void writeWithLostAnswerTakesEffect() {
		int port = startStandIn("PlatformStandIn").port();
		this.caller.post(port, "/control/lose-answers", "{\"count\":1,\"kind\":\"A\"}");
		boolean connectionClosed = this.caller
			.sendAsync("PUT", port, "/v1/objects/A/x?ifVersion=0", "{}", java.util.Map.of())
			.handle((answer, failure) -> failure != null)
			.join();
		assertTrue(connectionClosed, "the connection should close without an answer");
		assertEquals(this.caller.get(port, "/v1/objects/A/x").json().path("version").asLong(), 1);
	}

	@Test
	void crashedEngineRestartsOnSamePortWithEmptyCache() {
		int port = startStandIn("EngineStandIn", "--restart-ms", "200").port();
		completePrompt(port, "hello");
		Answer before = this.caller.get(port, "/control/state");
		this.caller.sendAsync("POST", port, "/v1/chat/completions", "{\"prompt\":\"CRASH-THE-ENGINE\"}",
				java.util.Map.of());
		Polling.await("the engine has restarted", 30,
				() -> this.caller.get(port, "/control/state").json().path("crashes").asInt() == 1);
		Answer after = this.caller.get(port, "/control/state");
		assertNotEquals(after.json().path("incarnation"), before.json().path("incarnation"));
		assertTrue(completePrompt(port, "again").contains("\"contextHeld\":false"), "the cache should be empty");
	}

	@Test
	void engineWithoutFenceCheckAcceptsOldOrderAndEngineWithFenceCheckRefusesIt() {
		int unchecked = startStandIn("EngineStandIn").port();
		int checked = startStandIn("EngineStandIn", "--checks-fence").port();
		for (int port : List.of(unchecked, checked)) {
			sendOrder(port, 9);
		}
		assertEquals(sendOrder(unchecked, 4).status(), 200);
		assertEquals(sendOrder(checked, 4).status(), 409);
	}

	private Answer sendOrder(int port, int fence) {
		return this.caller.post(port, "/v1/orders",
				"{\"fence\":" + fence + ",\"action\":\"load\",\"version\":\"v" + fence + "\"}");
	}

	private String completePrompt(int port, String prompt) {
		return this.caller
			.post(port, "/v1/chat/completions", "{\"chat\":\"c\",\"prompt\":\"" + prompt + "\",\"maxTokens\":2}")
			.body();
	}

	private ManagedProcess startStandIn(String name, String... args) {
		return this.harness.start(name, STAND_IN_PACKAGE + name, List.of(args));
	}

}
