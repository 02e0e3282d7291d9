package org.acaciamux.internal.transport.http.direct;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.netty.handler.codec.http.HttpRequest;

import org.acaciamux.internal.coordination.direct.SendResult;
import org.acaciamux.internal.coordination.direct.TrafficConfig;
import org.acaciamux.internal.event.LogText;
import org.acaciamux.internal.transport.http.BodyFraming;

/**
 * Writes the log lines and metrics of one request. Confined to the event loop.
 */
final class ExchangeLog {

	/** Sends that are listed in the last line of a request; the others are counted. */
	private static final int MAX_LISTED_SENDS = 4;

	private static final long NANOS_PER_MS = 1_000_000;

	private final List<SendTrace> sends = new ArrayList<>();

	private final DirectContext context;

	private final long startedAt;

	private final String request;

	private String route = LogText.UNKNOWN;

	private String lastChoice = "none";

	private long dataAt;

	private long firstByteAt;

	private long longestPause;

	private Optional<BodyFraming> framing = Optional.empty();

	private long bytes;

	ExchangeLog(DirectContext context, HttpRequest head, long startedAt) {
		this.context = context;
		this.request = context.format().attemptId(head).map(LogText::id).orElse(LogText.UNKNOWN);
		this.startedAt = startedAt;
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

	/**
	 * Record that the request was sent to a server.
	 * @param send the trace of the send
	 */
	void transmitted(SendTrace send) {
		this.sends.add(send);
	}

	void sendFailed(SendResult result, SendTrace send, CrashHistory crashes, String reason) {
		line("send-failed", result + " server=" + send.describe(this.startedAt) + " fingerprint=" + crashes + response()
				+ " reason=" + LogText.quoted(reason));
	}

	void ended(String outcome, String reason, Set<String> servers) {
		long ms = (this.context.now() - this.startedAt) / NANOS_PER_MS;
		long first = hasData() ? (this.firstByteAt - this.startedAt) / NANOS_PER_MS : -1;
		this.context.metrics().ended(outcome, ms);
		line("request-ended", outcome + " sends=" + this.sends.size() + " responses=" + responses() + " firstMs="
				+ first + " pauseMs=" + this.longestPause / NANOS_PER_MS + " ms=" + ms + drain() + response()
				+ " servers=" + servers + " lastChoice=" + this.lastChoice + " reason=" + LogText.quoted(reason));
	}

	// The last sends: those that were turned away before have lines of their own.
	private String responses() {
		int left = Math.max(0, this.sends.size() - MAX_LISTED_SENDS);
		return this.sends.stream()
			.skip(left)
			.map((send) -> send.describe(this.startedAt))
			.collect(Collectors.joining(", ", (left > 0) ? "[+" + left + ", " : "[", "]"));
	}

	// When the request began and ended in a drain, negative before it.
	private String drain() {
		return this.context.drainTimes()
			.map((times) -> " drainMs=" + times.elapsedMs(this.startedAt) + "/" + times.elapsedMs(this.context.now()))
			.orElse("");
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
