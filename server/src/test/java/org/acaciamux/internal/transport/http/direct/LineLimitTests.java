package org.acaciamux.internal.transport.http.direct;

import java.io.ByteArrayOutputStream;

import org.testng.annotations.Test;

import org.acaciamux.internal.event.DecisionLog;

import static org.testng.Assert.assertEquals;

/**
 * Guards against lines that are left out without notice, and against too many lines.
 */
public class LineLimitTests {

	private static final long SECOND = 1_000_000_000;

	@Test
	public void linesThatWereLeftOutAreToldOnce() {
		ByteArrayOutputStream written = new ByteArrayOutputStream();
		DecisionLog log = new DecisionLog(written, () -> 0, () -> 0);
		LineLimit limit = new LineLimit("test", log);
		int allowed = 0;
		for (int i = 0; i < 25; i++) {
			allowed += limit.tryLine(5 * SECOND) ? 1 : 0;
		}
		limit.tick(6 * SECOND);
		limit.tick(6 * SECOND + 1);
		limit.tick(9 * SECOND);
		log.close();
		assertEquals(allowed, 10);
		assertEquals(written.toString(), "time=0 ms=0 event=lines-suppressed of=test count=15\n");
	}

	@Test
	public void nothingIsToldWithinTheLimit() {
		ByteArrayOutputStream written = new ByteArrayOutputStream();
		DecisionLog log = new DecisionLog(written, () -> 0, () -> 0);
		LineLimit limit = new LineLimit("test", log);
		for (int i = 0; i < 10; i++) {
			limit.tryLine(5 * SECOND);
		}
		limit.tick(9 * SECOND);
		log.close();
		assertEquals(written.toString(), "");
	}

}
