package org.acaciamux.internal.transport.http.direct;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * What the log tells of one send: its connection, its times and the responses that came
 * on the connection. Invariant: a time that has been recorded does not change. Confined
 * to the event loop.
 */
final class SendTrace {

	/** Skipped responses that are listed; the others are counted. */
	private static final int MAX_LISTED = 4;

	private static final long NANOS_PER_MS = 1_000_000;

	private final List<String> skipped = new ArrayList<>();

	private final String server;

	private String connection = "none";

	private OptionalLong sentAt = OptionalLong.empty();

	private OptionalLong headAt = OptionalLong.empty();

	private OptionalLong endedAt = OptionalLong.empty();

	private int status;

	private int skippedCount;

	SendTrace(String server) {
		this.server = server;
	}

	/**
	 * Record that the request was sent.
	 * @param now the monotonic time in nanoseconds
	 * @param on the connection
	 */
	void sent(long now, String on) {
		this.sentAt = OptionalLong.of(now);
		this.connection = on;
	}

	/**
	 * Record a response that came before the one to the request.
	 * @param response the response
	 */
	void skipped(DroppedResponse response) {
		this.skippedCount++;
		if (this.skipped.size() < MAX_LISTED) {
			this.skipped.add(response.inList());
		}
	}

	/**
	 * Record the head of the response.
	 * @param now the monotonic time in nanoseconds
	 * @param responseStatus its status
	 */
	void head(long now, int responseStatus) {
		this.headAt = OptionalLong.of(now);
		this.status = responseStatus;
	}

	/**
	 * Record that the response is complete, has broken off or is given up. Has no effect
	 * if an end is recorded.
	 * @param now the monotonic time in nanoseconds
	 */
	void ended(long now) {
		if (this.endedAt.isEmpty()) {
			this.endedAt = OptionalLong.of(now);
		}
	}

	/**
	 * Describe the send for the log.
	 * @param start when the request arrived, monotonic in nanoseconds
	 * @return its server, connection, times, status and skipped responses
	 */
	String describe(long start) {
		String line = this.server + " conn=" + this.connection + " ms=" + ms(this.sentAt, start) + "/"
				+ ms(this.headAt, start) + "/" + ms(this.endedAt, start) + " status=" + this.status;
		if (this.skippedCount == 0) {
			return line;
		}
		int more = this.skippedCount - this.skipped.size();
		return line + " skipped=" + String.join(",", this.skipped) + ((more > 0) ? ",+" + more : "");
	}

	private static String ms(OptionalLong time, long start) {
		return time.isEmpty() ? "-" : String.valueOf((time.getAsLong() - start) / NANOS_PER_MS);
	}

}
