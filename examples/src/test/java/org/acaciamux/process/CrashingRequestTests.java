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
 * Guards against a request that crashes an engine and, when its caller resends it,
 * crashes all others.
 */
public class CrashingRequestTests {

	private static final int MAX_CRASHES = 3;

	@Test
	void resentCrashingRequestIsQuarantinedAndOthersAreServed() {
		try (TestFleet fleet = TestFleet.create()
			.withRouters(2)
			.withWriterAgents(3, "--restart-ms", "300")
			.withOrderingAgents(1, 0)
			.ready()) {
			String body = "{\"chat\":\"bad\",\"prompt\":\"" + EngineStandIn.CRASH_MARKER + "\",\"maxTokens\":5}";
			List<String> codes = new ArrayList<>();
			Answer[] lastAnswer = new Answer[1];
			Polling.await(
					() -> "the request is quarantined; codes so far: " + codes + "; last answer: " + lastAnswer[0], 90,
					() -> {
						Answer answer = fleet.fleet.caller()
							.send("POST", fleet.router(codes.size() % 2).httpPort(), TestFleet.CHAT_PATH, body,
									TestFleet.chatHeaders("bad"));
						lastAnswer[0] = answer;
						codes.add(answer.json().path("code").asText());
						return codes.get(codes.size() - 1).equals("request-quarantined");
					});
			Polling.await("a crashed engine has restarted and reports its crash", 30,
					() -> fleet.sumOverEngines("crashes") > 0);
			long crashes = fleet.sumOverEngines("crashes");
			assertTrue(crashes <= MAX_CRASHES, crashes + " crashes; codes: " + codes);
			for (int i = 0; i < 6; i++) {
				Answer answer = fleet.chat(i % 2, "good-" + i, 3);
				assertEquals(answer.status(), 200, answer.toString());
			}
		}
	}

}
