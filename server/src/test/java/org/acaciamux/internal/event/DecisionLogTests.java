package org.acaciamux.internal.event;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a log that blocks requests or grows without bound.
 */
public class DecisionLogTests {

	/** What a pipe takes in one write, in bytes. */
	private static final int PIPE_BYTES = 8_192;

	@Test
	public void linesBeyondTheCapacityAreDroppedAndCounted() throws InterruptedException {
		CountDownLatch reader = new CountDownLatch(1);
		ByteArrayOutputStream written = new ByteArrayOutputStream();
		PrintStream slow = new PrintStream(new OutputStream() {
			@Override
			public void write(int b) {
				throw new UnsupportedOperationException("lines are written as arrays");
			}

			@Override
			public void write(byte[] bytes, int off, int len) {
				await(reader);
				written.write(bytes, off, len);
			}
		});
		DecisionLog log = new DecisionLog(slow, () -> 5_000_000, () -> 7);
		for (int i = 0; i < DecisionLog.CAPACITY * 3; i++) {
			log.line("event=test number=" + i);
		}
		reader.countDown();
		while (!written.toString().contains("event=log-lines-dropped")) {
			log.line("event=more");
			Thread.sleep(10);
		}
		assertTrue(written.toString().startsWith("time=7 ms=5 event=test number=0\n"), written.toString());
		log.close();
	}

	/**
	 * A pipe may take only the beginning of a long write, so a line in its middle was cut
	 * and the lines after it were missing without notice.
	 */
	@Test
	public void batchThatIsLongerThanAPipeTakesIsWrittenInWholeLines() {
		ByteArrayOutputStream written = new ByteArrayOutputStream();
		DecisionLog log = new DecisionLog(new OutputStream() {
			@Override
			public void write(int b) {
				throw new UnsupportedOperationException("lines are written as arrays");
			}

			@Override
			public void write(byte[] bytes, int off, int len) {
				written.write(bytes, off, Math.min(len, PIPE_BYTES));
			}
		}, () -> 0, () -> 0);
		String text = "event=test text=" + "x".repeat(200);
		for (int i = 0; i < 100; i++) {
			log.line(text);
		}
		log.close();
		assertEquals(written.toString().lines().filter((line) -> line.endsWith(text)).count(), 100);
	}

	/**
	 * The last lines of a process were missing if its log was closed before the
	 * background thread had run.
	 */
	@Test
	public void linesOfALogThatIsClosedAtOnceAreWritten() {
		for (int i = 0; i < 500; i++) {
			ByteArrayOutputStream written = new ByteArrayOutputStream();
			DecisionLog log = new DecisionLog(written, () -> 0, () -> 0);
			log.line("event=last");
			log.close();
			assertTrue(written.toString().endsWith("event=last\n"), "log " + i + ": " + written);
		}
	}

	@Test
	public void linesWhoseWriteFailsAreCounted() throws InterruptedException {
		ByteArrayOutputStream written = new ByteArrayOutputStream();
		DecisionLog log = new DecisionLog(new OutputStream() {
			private boolean failed;

			@Override
			public void write(int b) {
				throw new UnsupportedOperationException("lines are written as arrays");
			}

			@Override
			public void write(byte[] bytes, int off, int len) throws IOException {
				if (!this.failed) {
					this.failed = true;
					throw new IOException("no room");
				}
				written.write(bytes, off, len);
			}
		}, () -> 0, () -> 0);
		log.line("event=lost");
		while (!written.toString().contains("event=log-lines-dropped")) {
			log.line("event=more");
			Thread.sleep(10);
		}
		log.close();
		assertFalse(written.toString().contains("event=lost"), written.toString());
	}

	/**
	 * A full pipe takes only the beginning of a longer write, and the process may end
	 * before it takes the rest.
	 */
	@Test
	public void lineThatIsLongerThanAWriteIsShortenedAndSaysSo() {
		ByteArrayOutputStream written = new ByteArrayOutputStream();
		DecisionLog log = new DecisionLog(written, () -> 0, () -> 0);
		log.line("event=long text=" + "\u00e9".repeat(5_000));
		log.line("event=next");
		log.close();
		List<String> lines = written.toString(StandardCharsets.UTF_8).lines().toList();
		assertEquals(lines.size(), 2, written.toString());
		int bytes = lines.get(0).getBytes(StandardCharsets.UTF_8).length;
		assertTrue(bytes > DecisionLog.MAX_WRITE_BYTES - 100 && bytes < DecisionLog.MAX_WRITE_BYTES, bytes + " bytes");
		assertTrue(lines.get(0).matches("time=0 ms=0 event=long text=\u00e9+ cutBytes=\\d+"), lines.get(0));
	}

	@Test
	public void textWithLineBreaksStaysOnOneLine() {
		ByteArrayOutputStream written = new ByteArrayOutputStream();
		DecisionLog log = new DecisionLog(written, () -> 0, () -> 0);
		log.line("event=test reason=\"a\r\nevent=forged\u2028b\u0085c\u0000d\"");
		log.close();
		assertEquals(written.toString(StandardCharsets.UTF_8),
				"time=0 ms=0 event=test reason=\"a  event=forged b c d\"\n");
	}

	/** The background thread ended, and no line of the process was written any more. */
	@Test
	public void linesAfterAnErrorInTheBackgroundThreadAreWritten() throws InterruptedException {
		ByteArrayOutputStream written = new ByteArrayOutputStream();
		DecisionLog log = new DecisionLog(new OutputStream() {
			private boolean failed;

			@Override
			public void write(int b) {
				throw new UnsupportedOperationException("lines are written as arrays");
			}

			@Override
			public void write(byte[] bytes, int off, int len) {
				if (!this.failed) {
					this.failed = true;
					throw new OutOfMemoryError("test");
				}
				written.write(bytes, off, len);
			}
		}, () -> 0, () -> 0);
		int given = 0;
		while (given < 500 && !written.toString().contains("event=log-lines-dropped")) {
			log.line("event=more");
			given++;
			Thread.sleep(10);
		}
		log.close();
		int writtenLines = written.toString().split("event=more\n", -1).length - 1;
		assertTrue(writtenLines > 0, written.toString());
		assertTrue(written.toString().contains("event=log-lines-dropped count=" + (given - writtenLines) + "\n"),
				given + " lines: " + written);
	}

	/** A process that is killed loses the lines that wait for the next batch. */
	@Test
	public void flushedLinesDoNotWaitForTheNextBatch() throws InterruptedException {
		long fastestNanos = Long.MAX_VALUE;
		for (int i = 0; i < 10; i++) {
			CountDownLatch written = new CountDownLatch(1);
			DecisionLog log = new DecisionLog(new OutputStream() {
				@Override
				public void write(int b) {
					throw new UnsupportedOperationException("lines are written as arrays");
				}

				@Override
				public void write(byte[] bytes, int off, int len) {
					written.countDown();
				}
			}, () -> 0, () -> 0);
			long startedAt = System.nanoTime();
			log.line("event=last");
			log.flushSoon();
			assertTrue(written.await(10, TimeUnit.SECONDS));
			fastestNanos = Math.min(fastestNanos, System.nanoTime() - startedAt);
			log.close();
		}
		assertTrue(fastestNanos < TimeUnit.MILLISECONDS.toNanos(50), fastestNanos + " ns");
	}

	private static void await(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
