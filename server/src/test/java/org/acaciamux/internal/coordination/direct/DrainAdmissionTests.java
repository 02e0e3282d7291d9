package org.acaciamux.internal.coordination.direct;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against requests that a draining router sends and then cuts, and against
 * refusals of requests that would have ended in time.
 */
public class DrainAdmissionTests {

	private static final long BALANCER_MS = 2_600;

	private static final long STOP_MS = 7_400;

	private static final long LIMIT_MS = 15_000;

	private static final DrainTimes DRAIN = new DrainTimes(0, at(BALANCER_MS), at(BALANCER_MS), at(STOP_MS));

	private final ServiceRoute stream = AttemptPolicyTests.route(RouteKind.STREAMING, false);

	private final ServiceRoute plain = AttemptPolicyTests.route(RouteKind.NON_IDEMPOTENT, false);

	private DrainAdmission admission;

	@BeforeMethod
	public void create() {
		this.admission = new DrainAdmission();
	}

	private static long at(long ms) {
		return TimeUnit.MILLISECONDS.toNanos(ms);
	}

	private void answered(ServiceRoute route, int count, long ms) {
		for (int i = 0; i < count; i++) {
			this.admission.answered(route, ms, route.streaming());
		}
	}

	private boolean mayBegin(ServiceRoute route, long limitMs, long ms) {
		return this.admission.mayBegin(route, limitMs, DRAIN, at(ms));
	}

	@Test
	public void streamOfAnUnknownLengthBeginsOnlyIfItsTimeLimitPassesInTime() {
		assertFalse(mayBegin(this.stream, LIMIT_MS, 10));
		assertTrue(mayBegin(this.stream, STOP_MS - 20, 10));
		assertFalse(mayBegin(this.stream, STOP_MS - 10, 10));
	}

	@Test
	public void streamBeginsIfMostOfItsRouteEndInTime() {
		answered(this.stream, 18, 1_000);
		answered(this.stream, 2, 20_000);
		assertTrue(mayBegin(this.stream, LIMIT_MS, 2_000));
	}

	@Test
	public void streamDoesNotBeginIfMoreThanATenthOfItsRouteTakeLonger() {
		answered(this.stream, 17, 1_000);
		answered(this.stream, 3, 20_000);
		assertFalse(mayBegin(this.stream, LIMIT_MS, 2_000));
	}

	@Test
	public void durationsOfFewStreamsDoNotCount() {
		answered(this.stream, DrainAdmission.MIN_STREAMS - 1, 10);
		assertFalse(mayBegin(this.stream, LIMIT_MS, 10));
	}

	@Test
	public void onlyTheLastDurationsCount() {
		answered(this.stream, DrainAdmission.SAMPLES, 20_000);
		answered(this.stream, DrainAdmission.SAMPLES, 10);
		assertTrue(mayBegin(this.stream, LIMIT_MS, 10));
	}

	@Test
	public void shortStreamsDoNotLetAnotherBeginOnceTheLoadBalancerHasStopped() {
		answered(this.stream, DrainAdmission.SAMPLES, 10);
		assertTrue(mayBegin(this.stream, LIMIT_MS, BALANCER_MS - 100));
		assertFalse(mayBegin(this.stream, LIMIT_MS, BALANCER_MS));
	}

	@Test
	public void shortStreamsDoNotLetAnotherBeginInTheEndOfALateDrain() {
		DrainTimes late = new DrainTimes(0, at(BALANCER_MS), at(BALANCER_MS + 2_000), at(STOP_MS));
		answered(this.stream, DrainAdmission.SAMPLES, 10);
		assertTrue(this.admission.mayBegin(this.stream, LIMIT_MS, late, at(BALANCER_MS - 100)));
		assertFalse(this.admission.mayBegin(this.stream, LIMIT_MS, late, at(BALANCER_MS)));
	}

	@Test
	public void plainRequestBeginsWhileASecondIsLeft() {
		assertTrue(mayBegin(this.plain, LIMIT_MS, STOP_MS - 1_100));
		assertFalse(mayBegin(this.plain, LIMIT_MS, STOP_MS - 900));
		assertTrue(mayBegin(this.plain, 500, STOP_MS - 900));
	}

	@Test
	public void plainRequestDoesNotBeginIfItsRouteTakesLonger() {
		answered(this.plain, 1, 3_000);
		assertFalse(mayBegin(this.plain, LIMIT_MS, STOP_MS - 2_000));
	}

	@Test
	public void timeLimitAppliesIfMoreThanATenthOfTheStreamsReachIt() {
		answered(this.stream, 18, 10);
		this.admission.expired(this.stream);
		this.admission.expired(this.stream);
		assertTrue(mayBegin(this.stream, LIMIT_MS, 10));
		this.admission.expired(this.stream);
		assertFalse(mayBegin(this.stream, LIMIT_MS, 10));
		assertTrue(mayBegin(this.stream, 1_000, 10));
	}

	@Test
	public void timeLimitsOfPlainRequestsDoNotCount() {
		this.admission.expired(this.plain);
		assertTrue(mayBegin(this.plain, LIMIT_MS, 10));
	}

	@Test
	public void largeResponsesAreJudgedAsStreams() {
		answered(this.plain, 18, 10);
		this.admission.answered(this.plain, 10, true);
		this.admission.answered(this.plain, 10, true);
		assertTrue(mayBegin(this.plain, LIMIT_MS, BALANCER_MS));
		this.admission.answered(this.plain, 10, true);
		assertTrue(mayBegin(this.plain, LIMIT_MS, BALANCER_MS - 100));
		assertFalse(mayBegin(this.plain, LIMIT_MS, BALANCER_MS));
		assertTrue(mayBegin(this.plain, 1_000, BALANCER_MS));
	}

	@Test
	public void streamIsRepeatedIfItsRouteTakesLessThanTheTimeLeft() {
		assertTrue(this.admission.mayRepeat(this.stream, LIMIT_MS, DRAIN, at(STOP_MS - 1_100)));
		assertFalse(this.admission.mayRepeat(this.stream, LIMIT_MS, DRAIN, at(STOP_MS - 900)));
		answered(this.stream, DrainAdmission.MIN_STREAMS, 3_000);
		assertTrue(this.admission.mayRepeat(this.stream, LIMIT_MS, DRAIN, at(STOP_MS - 3_100)));
		assertFalse(this.admission.mayRepeat(this.stream, LIMIT_MS, DRAIN, at(STOP_MS - 2_900)));
		assertTrue(this.admission.mayRepeat(this.stream, 2_800, DRAIN, at(STOP_MS - 2_900)));
	}

	@Test
	public void durationsAreKeptForALimitedNumberOfRoutes() {
		for (int i = 0; i < 2_000; i++) {
			answered(named("r" + i), DrainAdmission.MIN_STREAMS, 10);
		}
		assertFalse(mayBegin(named("r0"), LIMIT_MS, 10));
		assertTrue(mayBegin(named("r1999"), LIMIT_MS, 10));
	}

	private static ServiceRoute named(String name) {
		return new ServiceRoute(name, "a.example", "/r/", RouteKind.STREAMING, List.of(new ServiceRoute.Target("s", 1)),
				1_000, 100, 300, 2, 0, false, false);
	}

}
