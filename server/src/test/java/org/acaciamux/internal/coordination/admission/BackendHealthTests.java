package org.acaciamux.internal.coordination.admission;

import java.util.List;

import org.testng.annotations.Test;

import org.acaciamux.internal.coordination.admission.Backend.Health;
import org.acaciamux.internal.coordination.admission.BackendHealth.State;

import static org.testng.Assert.assertEquals;

/**
 * Guards against crashes that are missed, reported without a crash, or reported twice,
 * because probes and broken responses arrive in any order.
 */
public class BackendHealthTests {

	private static final Health REFUSED = new Health(Health.State.REFUSED, "");

	private static Health up(String incarnation) {
		return new Health(Health.State.UP, incarnation);
	}

	private static BackendHealth<String> started() {
		BackendHealth<String> health = new BackendHealth<>();
		health.probed(health.startProbe(0), up("one"));
		return health;
	}

	@Test
	public void aBrokenResponseOfALiveServerIsNotACrash() {
		BackendHealth<String> health = started();
		health.brokeOff("a", List.of("a", "b"), 10);
		assertEquals(health.probed(health.startProbe(10), up("one")), List.of());
		assertEquals(health.state(), State.UP);
		health.brokeOff("b", List.of("b"), 20);
		assertEquals(health.probed(health.startProbe(20), REFUSED), List.of("b"));
	}

	@Test
	public void aServerThatRestartedBeforeTheProbeHasCrashed() {
		BackendHealth<String> health = started();
		health.brokeOff("a", List.of("a", "b"), 10);
		assertEquals(health.probed(health.startProbe(10), up("two")), List.of("a", "b"));
	}

	@Test
	public void aProbeSentBeforeTheResponseBrokeOffIsIgnored() {
		BackendHealth<String> health = started();
		int early = health.startProbe(5);
		health.brokeOff("a", List.of("a"), 10);
		assertEquals(health.probed(early, up("one")), List.of());
		assertEquals(health.state(), State.CHECKING);
		assertEquals(health.probed(health.startProbe(10), REFUSED), List.of("a"));
	}

	@Test
	public void responsesThatBreakOffAfterTheServerWentDownBelongToTheSameCrash() {
		BackendHealth<String> health = started();
		health.brokeOff("a", List.of("a", "b"), 10);
		health.probed(health.startProbe(10), REFUSED);
		assertEquals(health.brokeOff("b", List.of("b"), 11), List.of());
	}

	@Test
	public void aRequestThatWasNotSentIsNoSuspect() {
		BackendHealth<String> health = started();
		String notSent = new String("b");
		health.brokeOff("a", List.of("a", notSent), 10);
		health.refused(notSent, 11);
		assertEquals(health.probed(health.startProbe(12), REFUSED), List.of("a"));
	}

	@Test
	public void aServerIsDownAfterThreeUnansweredProbes() {
		BackendHealth<String> health = started();
		Health silent = new Health(Health.State.SILENT, "");
		health.probed(health.startProbe(10), silent);
		health.probed(health.startProbe(20), silent);
		assertEquals(health.state(), State.UP);
		health.probed(health.startProbe(30), silent);
		assertEquals(health.state(), State.DOWN);
	}

	/**
	 * Guards against a server that hangs and never counts as down, because only probes
	 * that do not overlap count while it is checked.
	 */
	@Test
	public void aServerThatStaysSilentWhileItIsCheckedIsDownAfterThreeProbesInTurn() {
		BackendHealth<String> health = started();
		Health silent = new Health(Health.State.SILENT, "");
		health.brokeOff("a", List.of("a", "b"), 10);
		for (int turn = 1; turn <= 3; turn++) {
			assertEquals(health.state(), State.CHECKING);
			int first = health.startProbe(turn * 1_000L);
			int second = health.startProbe(turn * 1_000L + BackendHealth.DOWN_PROBE_MS);
			assertEquals(health.probed(first, silent), (turn < 3) ? List.of() : List.of("a", "b"));
			assertEquals(health.probed(second, silent), List.of());
		}
		assertEquals(health.state(), State.DOWN);
	}

}
