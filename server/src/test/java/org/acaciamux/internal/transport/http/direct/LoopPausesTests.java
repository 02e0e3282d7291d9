package org.acaciamux.internal.transport.http.direct;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.agrona.concurrent.SystemEpochClock;
import org.agrona.concurrent.SystemNanoClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.acaciamux.internal.event.DecisionLog;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a log from which nobody can tell a router without a processor from
 * messages that were lost.
 */
public class LoopPausesTests {

	private static final long START = TimeUnit.SECONDS.toNanos(5);

	private MetricRegistry registry;

	private ByteArrayOutputStream out;

	private DecisionLog log;

	private ThreadTimes.Times times;

	private LoopPauses pauses;

	@BeforeMethod
	public void create() {
		this.registry = new MetricRegistry();
		this.out = new ByteArrayOutputStream();
		this.log = new DecisionLog(new PrintStream(this.out), SystemNanoClock.INSTANCE, SystemEpochClock.INSTANCE);
		this.times = new ThreadTimes.Times(10, 20);
		this.pauses = new LoopPauses(START, () -> Optional.ofNullable(this.times), new DirectMetrics(this.registry),
				this.log);
	}

	private long checkAt(long ms) {
		return TimeUnit.NANOSECONDS.toMillis(this.pauses.check(START + TimeUnit.MILLISECONDS.toNanos(ms)) - START);
	}

	private long readUntil(long ms) {
		return TimeUnit.NANOSECONDS.toMillis(this.pauses.readUntil(START + TimeUnit.MILLISECONDS.toNanos(ms)) - START);
	}

	private String lines() {
		this.log.close();
		return this.out.toString(StandardCharsets.UTF_8);
	}

	@Test
	public void pauseIsLoggedWithWhatTheThreadDidMeanwhile() {
		checkAt(40);
		this.times = new ThreadTimes.Times(13, 620);
		checkAt(740);
		String lines = lines();
		assertTrue(lines.contains("event=router-paused pausedMs=700 ranMs=3 waitedMs=600 "), lines);
		assertTrue(lines.contains(" sinceLastMs=40"), lines);
	}

	@Test
	public void startDoesNotLoadTheGarbageCollectorBeans() {
		checkAt(500);
		assertTrue(lines().contains(" gcTotalMs=-1 "), lines());
	}

	@Test
	public void punctualCheckIsNotAPause() {
		checkAt(40);
		checkAt(40 + LoopPauses.LATE_TICK_MS);
		assertFalse(lines().contains("router-paused"), lines());
	}

	@Test
	public void whatArrivedInAPauseCountsAsUnread() {
		assertEquals(checkAt(40), 40);
		assertEquals(checkAt(1_040), 40);
		assertEquals(checkAt(1_080), 1_080);
	}

	@Test
	public void whatArrivedInAPauseCountsAsReadAtTheNextCheckInTime() {
		checkAt(40);
		assertEquals(readUntil(60), 60);
		assertEquals(readUntil(1_000), 40);
		checkAt(1_040);
		assertEquals(readUntil(1_060), 40);
		checkAt(1_080);
		assertEquals(readUntil(1_090), 1_090);
	}

	@Test
	public void metricsTellNumberTotalAndLongestPause() {
		checkAt(500);
		checkAt(540);
		checkAt(840);
		assertEquals(this.registry.counter("acaciamux.direct.pauses").getCount(), 2);
		assertEquals(this.registry.counter("acaciamux.direct.paused-ms").getCount(), 800);
		Gauge<?> longest = this.registry.getGauges().get("acaciamux.direct.longest-pause-ms");
		assertEquals(longest.getValue(), 500L);
	}

	@Test
	public void timesThatAreNotToldAreMarkedInTheLine() {
		this.times = null;
		checkAt(40);
		checkAt(740);
		assertTrue(lines().contains(" ranMs=-1 waitedMs=-1 "), lines());
	}

	@Test
	public void unreadableTimesAreNotKnown() {
		assertEquals(ThreadTimes.parse("1500000000 2000000 7\n"), Optional.of(new ThreadTimes.Times(1_500, 2)));
		assertTrue(ThreadTimes.parse("").isEmpty());
		assertTrue(ThreadTimes.parse("a b c").isEmpty());
	}

}
