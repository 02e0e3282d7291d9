package org.acaciamux.internal.transport.http.direct;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Processor time of the current thread as the operating system counts it. A thread that
 * neither ran nor waited for a processor was stopped or blocked. Confined to the thread
 * whose times it reads.
 */
final class ThreadTimes {

	private static final String FILE = "/proc/thread-self/schedstat";

	/** Three decimal numbers of 64 bits. */
	private static final int MAX_BYTES = 64;

	private static final long NANOS_PER_MS = 1_000_000;

	private final byte[] buffer = new byte[MAX_BYTES];

	/** Null until the first call, and where the operating system has no such file. */
	private RandomAccessFile file;

	private boolean opened;

	/**
	 * Read the times since the start of the thread.
	 * @return the times, empty if the operating system does not tell them
	 */
	Optional<Times> read() {
		try {
			if (!this.opened) {
				this.opened = true;
				this.file = new RandomAccessFile(FILE, "r");
			}
			if (this.file == null) {
				return Optional.empty();
			}
			this.file.seek(0);
			int length = this.file.read(this.buffer);
			return parse(new String(this.buffer, 0, Math.max(0, length), StandardCharsets.US_ASCII));
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

	static Optional<Times> parse(String text) {
		String[] fields = text.trim().split(" ");
		if (fields.length < 2) {
			return Optional.empty();
		}
		try {
			return Optional
				.of(new Times(Long.parseLong(fields[0]) / NANOS_PER_MS, Long.parseLong(fields[1]) / NANOS_PER_MS));
		}
		catch (NumberFormatException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Times since the start of a thread.
	 *
	 * @param ranMs time on a processor, in milliseconds
	 * @param waitedMs time in which it was ready to run and had no processor, in
	 * milliseconds
	 */
	record Times(long ranMs, long waitedMs) {
	}

}
