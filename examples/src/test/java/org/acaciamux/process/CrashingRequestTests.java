package org.acaciamux.process;

import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.Test;

import org.acaciamux.examples.harness.Caller.Answer;
import org.acaciamux.examples.harness.Polling;
import org.acaciamux.examples.standin.EngineStandIn;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against one request that takes down all engines when its caller resends it.
 */
public class CrashingRequestTests {

	private static final int MOST_CRASHES = 3;

	@Test
	void resentCrashingRequestIsQuarantinedAndOthersAreServed() {
		try (TestFleet fleet = TestFleet.create()
			.withRouters(2)
			.withWriters(3, "--restart-ms", "300")
			.withTills(1, 0)
			.ready()) {
			String body = "{\"chat\":\"bad\",\"prompt\":\"" + EngineStandIn.CRASH_MARKER + "\",\"maxTokens\":5}";
			List<String> codes = new ArrayList<>();
			Answer[] last = new Answer[1];
			Polling.await(() -> "the request is quarantined; codes so far: " + codes + "; last answer: " + last[0], 90,
					() -> {
						Answer answer = fleet.fleet.caller()
							.send("POST", fleet.router(codes.size() % 2).httpPort(), TestFleet.CHAT_PATH, body,
									TestFleet.chatHeaders("bad"));
						last[0] = answer;
						codes.add(answer.json().path("code").asText());
						return codes.get(codes.size() - 1).equals("request-quarantined");
					});
			Polling.await("the crashed engines are back", 30, () -> fleet.sumOfEngines("crashes") > 0);
			long crashes = fleet.sumOfEngines("crashes");
			assertTrue(crashes <= MOST_CRASHES, crashes + " crashes; codes: " + codes);
			for (int i = 0; i < 6; i++) {
				Answer answer = fleet.chat(i % 2, "good-" + i, 3);
				assertEquals(answer.status(), 200, answer.toString());
			}
		}
	}

}
