package org.acaciamux.internal.transport.http.direct;

import java.util.Locale;
import java.util.Optional;
import java.util.Set;

import org.acaciamux.internal.coordination.direct.SendResult;
import org.acaciamux.internal.coordination.direct.TrafficConfig;
import org.acaciamux.internal.transport.http.BodyFraming;

/**
 * Writes the log lines and metrics of one request. Confined to the event loop.
 */
final class ExchangeLog {

	private static final long NANOS_PER_MS = 1_000_000;

	private final DirectContext context;

	private final long startedAt;

	private String request = "-";

	private String route = "-";

	private String lastChoice = "none";

	private long dataAt;

	private long firstByteAt;

	private long longestPause;

	private Optional<BodyFraming> framing = Optional.empty();

	private long bytes;

	ExchangeLog(DirectContext context, long startedAt) {
		this.context = context;
		this.startedAt = startedAt;
	}

	void request(String attemptId) {
		this.request = attemptId;
	}

	void route(String name) {
		this.route = name;
	}

	/**
	 * Record the head of a response.
	 * @param bodyFraming how the end of its body is marked
	 */
	void head(BodyFraming bodyFraming) {
		this.framing = Optional.of(bodyFraming);
		this.bytes = 0;
	}

	/**
	 * Record bytes of the body of the response.
	 * @param now the monotonic time in nanoseconds
	 * @param length the number of bytes
	 */
	void data(long now, int length) {
		this.bytes += length;
		if (this.firstByteAt == 0) {
			this.firstByteAt = now;
			this.context.metrics().firstByte((now - this.startedAt) / NANOS_PER_MS);
		}
		else {
			this.longestPause = Math.max(this.longestPause, now - this.dataAt);
		}
		this.dataAt = now;
	}

	boolean hasData() {
		return this.firstByteAt != 0;
	}

	void sent(String choice) {
		this.lastChoice = choice;
		this.framing = Optional.empty();
		this.bytes = 0;
	}

	void sendFailed(SendResult result, String server, CrashHistory crashes, String reason) {
		line("send-failed",
				result + " server=" + server + " fingerprint=" + crashes + response() + " reason=\"" + reason + "\"");
	}

	void ended(String outcome, String reason, int sends, Set<String> servers) {
		long ms = (this.context.now() - this.startedAt) / NANOS_PER_MS;
		long first = hasData() ? (this.firstByteAt - this.startedAt) / NANOS_PER_MS : -1;
		this.context.metrics().ended(outcome, ms);
		line("request-ended",
				outcome + " sends=" + sends + " firstMs=" + first + " pauseMs=" + this.longestPause / NANOS_PER_MS
						+ " ms=" + ms + response() + " servers=" + servers + " lastChoice=" + this.lastChoice
						+ " reason=\"" + reason + "\"");
	}

	private String response() {
		String name = this.framing.map((value) -> value.name().toLowerCase(Locale.ROOT)).orElse("no-response");
		return " framing=" + name + " bytes=" + this.bytes;
	}

	private void line(String event, String detail) {
		this.context.log()
			.line("event=" + event + " request=" + this.request + " route=" + this.route + " config="
					+ this.context.config().map(TrafficConfig::version).orElse(0L) + " outcome=" + detail);
	}

}
