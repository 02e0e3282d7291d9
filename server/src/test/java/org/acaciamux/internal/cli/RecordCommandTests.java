package org.acaciamux.internal.cli;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.acaciamux.internal.cli.FakeObjectApi.Fault;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

/**
 * Guards against commands that overwrite or delete another operator's change, remove
 * fields of a newer version, write part of an invalid file, or report the result of a
 * lost write wrongly.
 */
public class RecordCommandTests {

	private static final String KIND = "Organisation";

	private static final String NAME = "night-market";

	private FakeObjectApi api;

	@BeforeMethod
	public void start() {
		this.api = new FakeObjectApi();
	}

	@AfterMethod
	public void stop() {
		this.api.close();
	}

	@Test
	public void applyCreatesAndUpdatesEveryDocumentOfAFile() {
		this.api.store(KIND, NAME, organisation(1));
		Run run = apply(organisation(2) + "---\n" + organisation(3).replace(NAME, "day-market"));
		assertEquals(run.code(), CliExitCode.OK, run.err());
		assertEquals(run.out(), """
				Organisation/night-market: updated, version 12
				Organisation/day-market: created, version 13
				""");
	}

	@Test
	public void applyOfTheStoredContentWritesNothing() {
		this.api.store(KIND, NAME, organisation(2));
		Run run = apply(organisation(2));
		assertEquals(run.out(), "Organisation/night-market: unchanged at version 11\n");
		assertEquals(this.api.writes(), 0);
	}

	/** Guards against writing the valid records of a file that has an invalid one. */
	@Test
	public void anInvalidRecordStopsTheWholeFileAndEveryProblemIsListed() {
		Run run = apply(organisation(2) + """
				---
				apiVersion: acaciamux/v1
				kind: Priority
				name: confirmation
				spec: {level: 12, agingMs: 1, levle: 3}
				""");
		assertEquals(run.code(), CliExitCode.INVALID);
		for (String path : new String[] { "spec.level", "spec.agingMs", "spec.levle" }) {
			assertTrue(run.err().contains("Priority/confirmation: " + path + ":"), run.err());
		}
		assertEquals(this.api.writes(), 0);
	}

	@Test
	public void validateListsEveryProblemWithoutThePlatform() {
		Run run = Run.with("", organisation(0).replace("spec:", "speck:"), false, () -> 0, "validate", "-f", "-");
		assertEquals(run.code(), CliExitCode.INVALID);
		assertTrue(run.err().contains("speck") && run.err().contains("spec: must be an object"), run.err());
	}

	/** Guards against taking a misspelt field for one of a newer version. */
	@Test
	public void anUnknownFieldThatIsNotStoredIsRefused() {
		this.api.store(KIND, NAME, organisation(1));
		Run run = apply(organisation(1) + "  wieght: 2\n");
		assertEquals(run.code(), CliExitCode.INVALID);
		assertTrue(run.err().contains("spec.wieght"), run.err());
	}

	/** Guards against an old tool that removes fields that a newer one has written. */
	@Test
	public void fieldsOfANewerVersionSurviveApply() {
		this.api.store(KIND, NAME, organisation(1) + "  burst: {tokens: 7}\n");
		Run run = apply(organisation(2));
		assertEquals(run.code(), CliExitCode.OK, run.err());
		assertEquals(this.api.value(KIND, NAME).at("/spec/burst/tokens").asInt(), 7);
		assertEquals(this.api.value(KIND, NAME).at("/spec/weight").asInt(), 2);
	}

	@Test
	public void fieldsOfANewerVersionSurviveGetAndApply() {
		this.api.store(KIND, NAME, organisation(1) + "  burst: {tokens: 7}\n");
		String file = Run.on(this.api, "", "get", KIND, NAME, "--output", "yaml").out();
		Run run = apply(file.replace("weight: 1", "weight: 4"));
		assertEquals(run.code(), CliExitCode.OK, run.err());
		assertEquals(this.api.value(KIND, NAME).at("/spec/burst/tokens").asInt(), 7);
	}

	/** Guards against a file in version 1 that removes unknown fields of version 2. */
	@Test
	public void fieldsOfANewerVersionSurviveApplyOfAnOlderSchemaVersion() {
		this.api.store("BackendPool", "menu-reads", pool("acaciamux/v2", "{queue: {limit: 9, shed: true}}"));
		Run run = apply(pool("acaciamux/v1", "{queueLimit: 10}"));
		assertEquals(run.code(), CliExitCode.OK, run.err());
		Run back = apply(pool("acaciamux/v2", "{queue: {limit: 11}}"));
		assertEquals(back.code(), CliExitCode.OK, back.err());
		assertTrue(this.api.value("BackendPool", "menu-reads").at("/spec/queue/shed").asBoolean(), back.out());
	}

	@Test
	public void aConflictShowsBothVersionsAndTheNextStep() {
		this.api.store(KIND, NAME, organisation(1));
		this.api.queueWriteFault(Fault.concurrentChange(() -> this.api.store(KIND, NAME, organisation(5))));
		Run run = apply(organisation(2));
		assertEquals(run.code(), CliExitCode.CONFLICT);
		assertEquals(this.api.value(KIND, NAME).at("/spec/weight").asInt(), 5);
		for (String part : new String[] { "yours (based on version 11):", "stored (version 12):",
				"~ spec.weight: 5 -> 2", "--if-version 12" }) {
			assertTrue(run.err().contains(part), part + " is missing in: " + run.err());
		}
	}

	@Test
	public void aDeletionByAnotherOperatorIsAConflict() {
		this.api.store(KIND, NAME, organisation(1));
		this.api.queueWriteFault(Fault.concurrentChange(() -> this.api.remove(KIND, NAME)));
		Run run = apply(organisation(2));
		assertEquals(run.code(), CliExitCode.CONFLICT);
		assertTrue(run.err().contains("the stored record is deleted"), run.err());
	}

	@Test
	public void recordsAfterAConflictAreReportedAsNotWritten() {
		this.api.store(KIND, NAME, organisation(1));
		this.api.queueWriteFault(Fault.concurrentChange(() -> this.api.store(KIND, NAME, organisation(5))));
		Run run = apply(organisation(2) + "---\n" + organisation(3).replace(NAME, "day-market"));
		assertTrue(run.err().contains("Organisation/day-market: not written"), run.err());
		assertNull(this.api.value(KIND, "day-market"));
	}

	@Test
	public void ifVersionRefusesAnotherVersionThanTheStoredOne() {
		this.api.store(KIND, NAME, organisation(1));
		Run run = apply(organisation(2), "--if-version", "3");
		assertEquals(run.code(), CliExitCode.CONFLICT);
		assertEquals(this.api.writes(), 0);
	}

	/** Guards against reporting a conflict with the tool's own first attempt. */
	@Test
	public void aWriteThatTookEffectIsReportedAsDoneWhenItsAnswerIsLost() {
		this.api.store(KIND, NAME, organisation(1));
		this.api.queueWriteFault(Fault.ANSWER_LOST);
		Run run = apply(organisation(2));
		assertEquals(run.out(), "Organisation/night-market: updated, version 12\n", run.err());
		assertEquals(this.api.writes(), 1);
	}

	@Test
	public void aWriteThatNeverArrivedIsRepeated() {
		this.api.store(KIND, NAME, organisation(1));
		this.api.queueWriteFault(Fault.REQUEST_LOST);
		Run run = apply(organisation(2));
		assertEquals(run.code(), CliExitCode.OK, run.err());
		assertEquals(this.api.value(KIND, NAME).at("/spec/weight").asInt(), 2);
	}

	/** Guards against overwriting another operator's change while repeating a write. */
	@Test
	public void aLostWriteIsNotRepeatedOverAnotherOperatorsChange() {
		this.api.store(KIND, NAME, organisation(1));
		this.api.queueWriteFault(Fault.requestLostAfter(() -> this.api.store(KIND, NAME, organisation(5))));
		assertEquals(apply(organisation(2)).code(), CliExitCode.CONFLICT);
		assertEquals(this.api.value(KIND, NAME).at("/spec/weight").asInt(), 5);
	}

	@Test
	public void aLostWriteDuringAnOutageIsReportedAsUnknown() {
		this.api.store(KIND, NAME, organisation(1));
		this.api.queueWriteFault(Fault.requestLostAfter(() -> this.api.setDown(true)));
		Run run = apply(organisation(2));
		assertEquals(run.code(), CliExitCode.UNAVAILABLE);
		assertTrue(run.err().contains("may still take effect"), run.err());
	}

	@Test
	public void aDeletionWhoseAnswerIsLostIsReportedAsDone() {
		this.api.store(KIND, NAME, organisation(1));
		this.api.queueWriteFault(Fault.ANSWER_LOST);
		Run run = Run.on(this.api, "", "delete", KIND, NAME);
		assertEquals(run.out(), "Organisation/night-market: deleted at version 11\n", run.err());
	}

	@Test
	public void aRecordChangedMeanwhileIsNotDeleted() {
		this.api.store(KIND, NAME, organisation(1));
		this.api.queueWriteFault(Fault.concurrentChange(() -> this.api.store(KIND, NAME, organisation(5))));
		Run run = Run.on(this.api, "", "delete", KIND, NAME);
		assertEquals(run.code(), CliExitCode.CONFLICT);
		assertTrue(run.err().contains("~ spec.weight: 1 -> 5"), run.err());
	}

	/** Guards against deleting a claim, after which its call could run again. */
	@Test
	public void objectsThatProcessesWriteCannotBeDeleted() {
		this.api.store("ClaimSegment", "orders.0.1", "{claims: []}");
		assertEquals(Run.on(this.api, "", "delete", "ClaimSegment", "orders.0.1").code(), CliExitCode.USAGE);
		assertFalse(this.api.value("ClaimSegment", "orders.0.1").isNull());
	}

	@Test
	public void diffShowsWhatApplyWouldChangeAndWritesNothing() {
		this.api.store(KIND, NAME, organisation(1) + "  burst: 3\n");
		Run run = Run.on(this.api, organisation(2), "diff", "-f", "-");
		assertEquals(run.code(), CliExitCode.DIFFERENT);
		assertEquals(run.out(), """
				Organisation/night-market: differs from version 11
				  ~ spec.weight: 1 -> 2
				""");
		assertEquals(this.api.writes(), 0);
	}

	@Test
	public void diffOfTheStoredContentFindsNothing() {
		this.api.store(KIND, NAME, organisation(1));
		assertEquals(Run.on(this.api, organisation(1), "diff", "-f", "-").code(), CliExitCode.OK);
	}

	@Test
	public void anOutageIsReportedAsSuch() {
		this.api.setDown(true);
		assertEquals(apply(organisation(1)).code(), CliExitCode.UNAVAILABLE);
		assertEquals(Run.on(this.api, "", "status").code(), CliExitCode.UNAVAILABLE);
	}

	@Test
	public void aMissingObjectIsReportedAsSuch() {
		assertEquals(Run.on(this.api, "", "get", KIND, "nobody").code(), CliExitCode.NOT_FOUND);
	}

	private Run apply(String file, String... more) {
		String[] args = new String[3 + more.length];
		args[0] = "apply";
		args[1] = "-f";
		args[2] = "-";
		System.arraycopy(more, 0, args, 3, more.length);
		return Run.on(this.api, file, args);
	}

	private static String organisation(int weight) {
		return "apiVersion: acaciamux/v1\nkind: Organisation\nname: night-market\nspec:\n  weight: " + weight + "\n";
	}

	private static String pool(String apiVersion, String spec) {
		return "apiVersion: " + apiVersion + "\nkind: BackendPool\nname: menu-reads\nspec: " + spec + "\n";
	}

}
