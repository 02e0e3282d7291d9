package org.acaciamux.internal.event;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;

/**
 * Writes one structured line for each decision, in a background thread. Invariants:
 * {@link #line} never blocks; at most {@link #CAPACITY} lines wait; each write holds
 * whole lines; a line that is longer than a write is shortened and says so; lines that do
 * not fit or whose write fails are counted, and a later write reports how many.
 * Thread-safe.
 */
public final class DecisionLog implements AutoCloseable {

	/** Maximum number of waiting lines; at 200 bytes a line they occupy 400 KB. */
	static final int CAPACITY = 2_048;

	/**
	 * Longest write and longest line, in bytes: a pipe takes it whole or not at all. A
	 * longer write may be cut in the middle of a line.
	 */
	static final int MAX_WRITE_BYTES = 4_096;

	/** Pause between two batches, in milliseconds: limits the number of writes. */
	private static final long BATCH_INTERVAL_MS = 100;

	/** Longest wait of {@link #close} for a reader that is slow, in milliseconds. */
	private static final long CLOSE_TIMEOUT_MS = 1_000;

	private final BlockingQueue<String> waiting = new ArrayBlockingQueue<>(CAPACITY);

	/** Each permit ends a pause between two batches. */
	private final Semaphore flushes = new Semaphore(0);

	private final AtomicLong dropped = new AtomicLong();

	private static final long NANOS_PER_MS = 1_000_000;

	private final OutputStream out;

	private final NanoClock clock;

	private final EpochClock time;

	private final Thread writer;

	private volatile boolean closed;

	/**
	 * Start the background thread.
	 * @param out receives the lines
	 * @param clock the monotonic clock, for intervals
	 * @param time the wall clock, for the time at the start of each line
	 */
	public DecisionLog(OutputStream out, NanoClock clock, EpochClock time) {
		this.out = out;
		this.clock = clock;
		this.time = time;
		this.writer = new Thread(this::write, "decision-log");
		this.writer.setDaemon(true);
		this.writer.start();
	}

	/**
	 * Write a line, preceded by the time since 1970 and the monotonic time, both in
	 * milliseconds.
	 * @param line the line
	 */
	public void line(String line) {
		String stamped = "time=" + this.time.time() + " ms=" + this.clock.nanoTime() / NANOS_PER_MS + " " + line;
		if (!this.waiting.offer(stamped)) {
			this.dropped.incrementAndGet();
		}
	}

	/**
	 * Write the waiting lines without a pause, because the process may be killed. Does
	 * not block.
	 */
	public void flushSoon() {
		this.flushes.release();
	}

	private void write() {
		Deque<String> batch = new ArrayDeque<>();
		try {
			while (!this.closed) {
				if (batch.isEmpty()) {
					batch.add(this.waiting.take());
				}
				this.flushes.tryAcquire(BATCH_INTERVAL_MS, TimeUnit.MILLISECONDS);
				this.flushes.drainPermits();
				tryFlush(batch);
			}
		}
		catch (InterruptedException ex) {
			// close() has interrupted this thread.
		}
		// This thread may not have run before close().
		tryFlush(batch);
	}

	// A lack of memory may pass. What was not written is counted or stays in the batch.
	private void tryFlush(Deque<String> batch) {
		try {
			flush(batch);
		}
		catch (RuntimeException | OutOfMemoryError ex) {
			// The next batch reports the losses.
		}
	}

	private void flush(Deque<String> batch) {
		this.waiting.drainTo(batch, Math.max(0, CAPACITY - batch.size()));
		reportLosses(batch);
		ByteArrayOutputStream chunk = new ByteArrayOutputStream(MAX_WRITE_BYTES);
		int lines = 0;
		try {
			while (!batch.isEmpty()) {
				byte[] bytes = LogText.line(batch.peek(), MAX_WRITE_BYTES);
				if (lines > 0 && chunk.size() + bytes.length > MAX_WRITE_BYTES) {
					int full = lines;
					lines = 0;
					write(chunk, full);
				}
				chunk.writeBytes(bytes);
				batch.remove();
				lines++;
			}
		}
		finally {
			if (lines > 0) {
				write(chunk, lines);
			}
		}
	}

	private void reportLosses(Deque<String> batch) {
		long lost = this.dropped.getAndSet(0);
		if (lost > 0) {
			batch.add("event=log-lines-dropped count=" + lost);
		}
	}

	private void write(ByteArrayOutputStream chunk, int lines) {
		boolean written = false;
		try {
			this.out.write(chunk.toByteArray(), 0, chunk.size());
			this.out.flush();
			written = true;
		}
		catch (IOException ex) {
			// Counted below, like the lines that an error prevents.
		}
		finally {
			if (!written) {
				this.dropped.addAndGet(lines);
			}
			chunk.reset();
		}
	}

	/**
	 * Write the waiting lines and stop the background thread.
	 */
	@Override
	public void close() {
		this.closed = true;
		this.writer.interrupt();
		try {
			this.writer.join(CLOSE_TIMEOUT_MS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
