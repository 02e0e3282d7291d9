package org.acaciamux.examples.demo;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.acaciamux.examples.harness.CallKeys;
import org.acaciamux.examples.harness.Caller.Answer;
import org.acaciamux.examples.harness.Daemon;
import org.acaciamux.examples.harness.DaemonSpec;
import org.acaciamux.examples.harness.Fleet;
import org.acaciamux.examples.harness.ManagedProcess;

/**
 * Starts a small fleet, sends a chat twice and a charge twice, each time through another
 * router, and checks the answers. Ends with exit code 0 only if all checks pass. Not
 * thread-safe.
 */
public final class Demo {

	private static final String REGION = "tw-north";

	private static final String ROTA_REGION = "ro-centru";

	private static final long STATUS_SECONDS = 30;

	private static final long STOP_SECONDS = 30;

	private final Fleet fleet;

	private final List<Daemon> daemons = new ArrayList<>();

	private final List<ManagedProcess> services = new ArrayList<>();

	private final List<String> problems = new ArrayList<>();

	private Demo(Fleet fleet) {
		this.fleet = fleet;
	}

	/**
	 * Run the demonstration.
	 * @param args the directory of the records, {@code examples/records} if none is given
	 */
	public static void main(String[] args) {
		Path records = Path.of((args.length > 0) ? args[0] : "examples/records");
		List<String> problems;
		try (Fleet fleet = Fleet.start()) {
			problems = new Demo(fleet).run(records);
		}
		problems.forEach((problem) -> System.out.println("NOT AS EXPECTED: " + problem));
		System.out.println(problems.isEmpty() ? "demo: everything was as expected" : "demo: failed");
		System.exit(problems.isEmpty() ? 0 : 1);
	}

	private List<String> run(Path records) {
		this.fleet.writeRecords(records.resolve("kiosk"));
		this.fleet.writeRecords(records.resolve("rota"));
		startFleet();
		Daemon firstRouter = this.daemons.get(0);
		Daemon secondRouter = this.daemons.get(1);
		this.fleet.awaitPool(firstRouter, "kiosk-writer", 3);
		this.fleet.awaitPool(secondRouter, "kiosk-writer", 3);
		this.fleet.awaitPool(firstRouter, "kiosk-ordering", 2);
		this.fleet.awaitPool(secondRouter, "kiosk-ordering", 2);
		showChats(firstRouter, secondRouter);
		showCharges(firstRouter, secondRouter);
		showStatus();
		stop();
		return this.problems;
	}

	private void startFleet() {
		for (int i = 0; i < 2; i++) {
			start(DaemonSpec.router("router-" + (i + 1), REGION, failureDomain(i)));
		}
		for (int i = 0; i < 3; i++) {
			ManagedProcess engine = this.fleet.startEngine("engine-" + (i + 1));
			start(DaemonSpec.agent("writer-" + (i + 1), REGION, failureDomain(i), "kiosk-writer", engine.hostPort()));
		}
		for (int i = 0; i < 2; i++) {
			ManagedProcess service = this.fleet.startPlainService("ordering-service-" + (i + 1));
			this.services.add(service);
			start(DaemonSpec.agent("ordering-" + (i + 1), REGION, failureDomain(i), "kiosk-ordering",
					service.hostPort()));
		}
		startRotaAgents();
		this.daemons.forEach(this.fleet::awaitReady);
	}

	private void startRotaAgents() {
		ManagedProcess engine = this.fleet.startEngine("engine-rota");
		start(DaemonSpec.agent("rota-1", ROTA_REGION, ROTA_REGION + "-a", "rota-assistant", engine.hostPort()));
		ManagedProcess service = this.fleet.startPlainService("confirmations");
		start(DaemonSpec.agent("confirmations-1", ROTA_REGION, ROTA_REGION + "-b", "rota-confirmations",
				service.hostPort()));
	}

	private void start(DaemonSpec spec) {
		Daemon daemon = this.fleet.start(spec);
		this.daemons.add(daemon);
		System.out.printf("started %s %s in %s as process %d%n", spec.role(), spec.id(), spec.failureDomain(),
				daemon.process().pid());
	}

	private static String failureDomain(int index) {
		return REGION + "-" + (char) ('a' + index);
	}

	private void showChats(Daemon firstRouter, Daemon secondRouter) {
		Answer firstAnswer = chat(firstRouter, Map.of());
		String token = firstAnswer.header("Acaciamux-Affinity");
		Answer secondAnswer = chat(secondRouter, token.isEmpty() ? Map.of() : Map.of("Acaciamux-Affinity", token));
		expect(firstAnswer.status() == 200 && firstAnswer.body().contains("[DONE]"),
				"the first chat is answered: " + firstAnswer);
		expect(firstAnswer.body().contains("\"contextHeld\":false"), "the first chat finds no context");
		expect(secondAnswer.status() == 200 && secondAnswer.body().contains("[DONE]"),
				"the second chat is answered: " + secondAnswer);
		expect(secondAnswer.body().contains("\"contextHeld\":true"), "the returning chat finds its context");
	}

	private Answer chat(Daemon router, Map<String, String> extraHeaders) {
		Map<String, String> headers = new java.util.HashMap<>(extraHeaders);
		headers.putAll(Map.of("Acaciamux-Chat", "plan-week-32", "Acaciamux-Organisation", "harbour-kiosks",
				"Acaciamux-Priority", "stock-plan"));
		Answer answer = this.fleet.caller()
			.send("POST", router.httpPort(), "/pools/kiosk-writer/v1/chat/completions",
					"{\"chat\":\"plan-week-32\",\"prompt\":\"plan the stock for week 32\",\"maxTokens\":12}", headers);
		System.out.printf("chat through %s: status %d, ran on %s, context held: %s, %d tokens%n", router.id(),
				answer.status(), answer.header("Acaciamux-Server"), answer.body().contains("\"contextHeld\":true"),
				answer.body().split("\"token\"", -1).length - 1);
		return answer;
	}

	private void showCharges(Daemon firstRouter, Daemon secondRouter) {
		String key = CallKeys.next();
		Answer original = charge(firstRouter, key, 1);
		Answer repeated = charge(secondRouter, key, 2);
		expect(original.status() == 201, "the charge is made: " + original);
		expect(repeated.status() == 201 && repeated.body().equals(original.body()),
				"the repeated charge gets the same answer");
		expect(repeated.header("Acaciamux-Replayed").equals("true"), "the repeated charge is marked as replayed");
		int executions = this.services.stream().mapToInt((service) -> executions(service, key)).sum();
		System.out.println("executions of the charge in all ordering services: " + executions);
		expect(executions == 1, "the charge ran exactly once");
	}

	private Answer charge(Daemon router, String key, int attempt) {
		Answer answer = this.fleet.sendWithRetries("POST", router, "/pools/kiosk-ordering/charges", "{\"amount\":42}",
				Map.of("Idempotency-Key", key, "Acaciamux-Organisation", "harbour-kiosks", "Acaciamux-Priority",
						"charge", "Acaciamux-Attempt", Integer.toString(attempt)));
		System.out.printf("charge through %s: status %d, ran on %s, outcome %s, replayed: %s, answer %s%n", router.id(),
				answer.status(), answer.header("Acaciamux-Server"), answer.header("Acaciamux-Outcome"),
				answer.header("Acaciamux-Replayed").equals("true"), answer.body());
		return answer;
	}

	private int executions(ManagedProcess service, String key) {
		return this.fleet.caller().get(service.port(), "/control/state").json().path("executions").path(key).asInt();
	}

	private void showStatus() {
		ManagedProcess status = this.fleet.runTool("status");
		expect(status.awaitExit(STATUS_SECONDS) == 0, "acaciamux status ends with exit code 0");
		System.out.println("acaciamux status:");
		status.output().forEach((line) -> System.out.println("  " + line));
		for (Daemon daemon : this.daemons) {
			Answer ready = this.fleet.caller().get(daemon.adminPort(), "/ready");
			expect(ready.status() == 200, daemon.id() + " is ready: " + ready);
		}
	}

	private void stop() {
		for (Daemon daemon : this.daemons) {
			daemon.process().terminate();
			int code = daemon.process().awaitExit(STOP_SECONDS);
			System.out.printf("stopped %s (process %d), exit code %d%n", daemon.id(), daemon.process().pid(), code);
			expect(code == 0, daemon.id() + " stops with exit code 0");
		}
	}

	private void expect(boolean holds, String expectation) {
		if (!holds) {
			this.problems.add(expectation);
		}
	}

}
