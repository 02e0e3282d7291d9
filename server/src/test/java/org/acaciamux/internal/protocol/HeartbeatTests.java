package org.acaciamux.internal.protocol;

import java.util.concurrent.TimeUnit;

import org.testng.annotations.Test;

import org.acaciamux.internal.protocol.Heartbeat.Action;

import static org.testng.Assert.assertEquals;

/**
 * Guards against silent connections that are detected too late, working connections that
 * are declared silent, and idle connections that are pinged too often.
 */
public class HeartbeatTests {

	@Test
	public void aBusyConnectionIsPingedAfterOneSecondOfSilence() {
		Heartbeat heartbeat = new Heartbeat(0);
		assertEquals(heartbeat.tick(millis(999), true), Action.NONE);
		assertEquals(heartbeat.tick(millis(1_000), true), Action.PING);
	}

	@Test
	public void anUnansweredPingDeclaresTheConnectionSilentAfterThreeSeconds() {
		Heartbeat heartbeat = new Heartbeat(0);
		heartbeat.tick(millis(1_000), true);
		assertEquals(heartbeat.tick(millis(2_999), true), Action.NONE);
		assertEquals(heartbeat.tick(millis(3_000), true), Action.DECLARE_SILENT);
	}

	@Test
	public void aFrameAfterThePingKeepsTheConnection() {
		Heartbeat heartbeat = new Heartbeat(0);
		heartbeat.tick(millis(1_000), true);
		heartbeat.resetSilence(millis(2_500));
		assertEquals(heartbeat.tick(millis(3_000), true), Action.NONE);
	}

	@Test
	public void anIdleConnectionIsPingedOnceAMinuteOnly() {
		Heartbeat heartbeat = new Heartbeat(0);
		assertEquals(heartbeat.tick(millis(59_999), false), Action.NONE);
		assertEquals(heartbeat.tick(millis(60_000), false), Action.PING);
	}

	/**
	 * Guards against a link that is given up because this process itself was late and has
	 * not read the answer yet.
	 */
	@Test
	public void aLateTickIsNoEvidenceOfSilence() {
		Heartbeat heartbeat = new Heartbeat(0);
		heartbeat.tick(millis(1_000), true);
		heartbeat.tick(millis(1_250), true);
		assertEquals(heartbeat.tick(millis(3_250), true), Action.NONE);
		heartbeat.resetSilence(millis(3_251));
		assertEquals(heartbeat.tick(millis(3_500), true), Action.NONE);
	}

	/**
	 * Guards against a silent link that is kept because one tick was late.
	 */
	@Test
	public void silenceAfterALateTickDeclaresTheConnectionSilent() {
		Heartbeat heartbeat = new Heartbeat(0);
		heartbeat.tick(millis(1_000), true);
		heartbeat.tick(millis(3_250), true);
		assertEquals(heartbeat.tick(millis(3_500), true), Action.DECLARE_SILENT);
	}

	private static long millis(long value) {
		return TimeUnit.MILLISECONDS.toNanos(value);
	}

}
