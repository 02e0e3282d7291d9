package org.acaciamux.settings;

import java.util.List;
import java.util.stream.Collectors;

import io.vavr.control.Either;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against invalid settings that are accepted, problems that are reported one at a
 * time or without their path, and omitted limits that do not get their defaults.
 */
public class SettingsFileTests {

	private static final String ROUTER = """
			role: router
			id: router-1
			region: tw-north
			failureDomain: tw-north-a
			listen: {address: 127.0.0.1, port: 8080}
			peer: {port: 7070}
			platform: {objects: "127.0.0.1:7000", vms: "127.0.0.1:7001"}
			""";

	@Test
	public void aCompleteRouterFileIsRead() {
		NodeSettings settings = SettingsFile.parse(ROUTER).get();
		assertEquals(settings.listen().orElseThrow(), new Endpoint("127.0.0.1", 8080));
	}

	@Test
	public void omittedLimitsHaveTheirDefaults() {
		assertEquals(SettingsFile.parse(ROUTER).get().limits(), LimitSettings.defaults());
	}

	@Test
	public void everyProblemIsReportedAtOnceWithItsPath() {
		String yaml = """
				role: rooter
				id: Router_1
				failureDomain: a
				listen: {adress: x, port: 70000}
				platform: {objects: "nowhere", vms: 3}
				limits: {bodyBytes: 12, queue: 3}
				""";
		List<String> paths = problems(yaml).stream().map(SettingsProblem::path).collect(Collectors.toList());
		assertEquals(paths, List.of("role", "id", "region", "listen.port", "platform.objects", "platform.vms",
				"limits.bodyBytes", "listen.adress", "limits.queue"));
	}

	@Test
	public void aProblemContainsAnExample() {
		assertEquals(problems(ROUTER.replace("id: router-1", "id: Router")).get(0).example(), "id: router-1");
	}

	@Test
	public void anAgentNeedsTheAgentSection() {
		List<SettingsProblem> problems = problems(ROUTER.replace("role: router", "role: agent"));
		assertTrue(problems.stream().anyMatch((problem) -> problem.path().equals("agent.pool")), problems.toString());
	}

	@Test
	public void aRouterMustNotHaveAnAgentSection() {
		List<SettingsProblem> problems = problems(ROUTER + "agent: {pool: a, backend: '127.0.0.1:1'}\n");
		assertEquals(problems.get(0).path(), "agent");
	}

	@Test
	public void invalidYamlIsReportedWithItsLine() {
		assertEquals(problems("role: router\nid: [").get(0).path(), "line 2");
	}

	@Test
	public void aDuplicateKeyIsReported() {
		assertTrue(problems("role: router\nrole: agent\n").get(0).message().contains("Duplicate"));
	}

	private static List<SettingsProblem> problems(String yaml) {
		Either<List<SettingsProblem>, NodeSettings> result = SettingsFile.parse(yaml);
		return result.getLeft();
	}

}
