package org.acaciamux.internal.coordination.direct;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.acaciamux.settings.Endpoint;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against late responses under overload, and against refusals of requests that can
 * be served.
 */
public class AdmissionTests {

	private final ManualClock clock = new ManualClock();

	private Admission admission;

	private ServerState server;

	@BeforeMethod
	public void start() {
		this.admission = new Admission(this.clock);
		this.server = new ServerState(new ServerEntry("i", "s", new Endpoint("127.0.0.1", 1), "a", 10, false, 1), 0, 1);
		for (int i = 0; i < 300; i++) {
			this.admission.answered("s", 1_000);
		}
	}

	private void load(int requests) {
		for (int i = 0; i < requests; i++) {
			this.server.started(List.of());
		}
	}

	private static ServiceRoute route() {
		return new ServiceRoute("r", "a", "/", RouteKind.STREAMING, List.of(new ServiceRoute.Target("s", 1)), 9_000,
				800, 300, 1, 0, false, false);
	}

	private static Admission.WaitClass waitClass(int rank) {
		return new Admission.WaitClass(rank, false);
	}

	private Admission.WaitClass arrived(String organisation) {
		return this.admission.arrived(route(), Optional.of(new Organisation(organisation, OptionalInt.empty())));
	}

	@Test
	public void nothingIsRefusedWhileASlotIsFree() {
		load(9);
		for (int rank = 0; rank < 10; rank++) {
			assertFalse(this.admission.refusal(this.server, route(), waitClass(rank)).isPresent());
		}
	}

	@Test
	public void requestThatWouldWaitTooLongIsRefusedWithTheTimeUntilASlotIsFree() {
		load(13);
		assertEquals(this.admission.refusal(this.server, route(), waitClass(0)).orElseThrow(), 400);
	}

	@Test
	public void urgentRequestsMayWaitLonger() {
		load(12);
		assertFalse(this.admission.refusal(this.server, route(), waitClass(0)).isPresent());
		assertTrue(this.admission.refusal(this.server, route(), waitClass(2)).isPresent());
	}

	@Test
	public void organisationThatSendsTenTimesItsUsualRequestsIsInExcessAndTheOthersAreNot() {
		for (int ms = 0; ms < 60_000; ms += 100) {
			assertFalse(arrived("o" + ms / 100 % 10).excess());
			this.clock.advance(100);
		}
		int excess = 0;
		for (int ms = 0; ms < 5_000; ms += 20) {
			excess += arrived("o3").excess() ? 1 : 0;
			this.clock.advance(10);
			String other = "o" + ms / 20 % 10;
			assertTrue(!arrived(other).excess() || other.equals("o3"), other + " at " + ms);
			this.clock.advance(10);
		}
		// o3 sends 50 requests a second instead of 5; the requests above three times the
		// usual
		// number are excess.
		assertTrue(excess > 250 - 15 * 5 - 100 && excess < 250, "excess " + excess);
	}

	@Test
	public void surgeOfAllOrganisationsIsNoExcess() {
		for (int i = 0; i < 6_000; i++) {
			boolean surge = i > 3_000;
			assertFalse(arrived("o" + i % 10).excess(), "request " + i);
			this.clock.advance(surge ? 10 : 100);
		}
	}

	@Test
	public void excessGetsOnlyFreeSlots() {
		load(9);
		assertFalse(this.admission.refusal(this.server, route(), new Admission.WaitClass(0, true)).isPresent());
		load(1);
		assertTrue(this.admission.refusal(this.server, route(), new Admission.WaitClass(0, true)).isPresent());
		assertFalse(this.admission.refusal(this.server, route(), new Admission.WaitClass(0, false)).isPresent());
	}

	@Test
	public void retriesAreSpreadOverTheTimeInWhichTheyCanBeServed() {
		assertEquals(Admission.retryAfterMs(400, 10_000, 0), 400);
		assertEquals(Admission.retryAfterMs(400, 10_000, 0.5), 1_700);
		assertEquals(Admission.retryAfterMs(9_000, 1_000, 0.5), 300);
		assertEquals(Admission.retryAfterMs(0, 100, 0.9), 200);
	}

	/**
	 * Sends three times the capacity of a server for ten seconds in steps of 10 ms. The
	 * server has ten slots and each request runs for one second. Without refusals the
	 * wait grows by two seconds each second, and every request after the first second is
	 * late.
	 */
	@Test
	public void overloadLeavesTheAdmittedRequestsInTime() {
		double[] endsAt = new double[10];
		int sent = 0;
		int late = 0;
		for (int step = 0; step < 1_000; step++) {
			double now = step / 100.0;
			this.clock.advance(10);
			if (step % 10 < 3) {
				int first = 0;
				for (int i = 1; i < endsAt.length; i++) {
					first = (endsAt[i] < endsAt[first]) ? i : first;
				}
				if (this.admission.refusal(this.server, route(), waitClass(0)).isEmpty()) {
					this.server.started(List.of());
					sent++;
					double startsAt = Math.max(now, endsAt[first]);
					late += (startsAt - now > 0.8) ? 1 : 0;
					endsAt[first] = startsAt + 1;
				}
			}
			int running = 0;
			for (double end : endsAt) {
				running += (int) Math.ceil(Math.max(0, end - now - 0.01));
			}
			while (this.server.inFlight() > running) {
				this.server.ended();
			}
		}
		assertEquals(late, 0);
		assertTrue(sent >= 95, "sent " + sent);
	}

}
