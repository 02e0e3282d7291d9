package org.acaciamux.examples.standin;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A completion of the engine stand-in that waits, runs or has ended. Keeps the bytes of
 * its answer, so that a reader can resume at an offset. At most one reader is attached.
 * Not thread-safe.
 */
final class Generation {

	private final String requestId;

	private final String chat;

	private final int promptTokens;

	private final int maxTokens;

	private final int priority;

	private final ByteArrayOutputStream answerBytes = new ByteArrayOutputStream();

	private Exchange reader;

	private int produced;

	private boolean ended;

	Generation(String requestId, String chat, int promptTokens, int maxTokens, int priority) {
		this.requestId = requestId;
		this.chat = chat;
		this.promptTokens = promptTokens;
		this.maxTokens = maxTokens;
		this.priority = priority;
	}

	String requestId() {
		return this.requestId;
	}

	String chat() {
		return this.chat;
	}

	int priority() {
		return this.priority;
	}

	boolean isEnded() {
		return this.ended;
	}

	int contextTokens() {
		return this.promptTokens + this.produced;
	}

	/**
	 * Attach a reader and send it the answer from an offset on. The connection of an
	 * earlier reader is closed.
	 * @param exchange the reader
	 * @param offset the offset of the first byte to send
	 */
	void attach(Exchange exchange, int offset) {
		if (this.reader != null && this.reader != exchange) {
			this.reader.abort();
		}
		this.reader = exchange;
		exchange.beginStream("text/event-stream");
		byte[] answer = this.answerBytes.toByteArray();
		if (offset < answer.length) {
			exchange.write(Arrays.copyOfRange(answer, offset, answer.length));
		}
		if (this.ended) {
			exchange.endStream();
		}
	}

	void append(String event) {
		byte[] eventBytes = event.getBytes(StandardCharsets.UTF_8);
		this.answerBytes.writeBytes(eventBytes);
		if (this.reader != null && this.reader.isOpen()) {
			this.reader.write(eventBytes);
		}
	}

	/**
	 * Produce the next token, or the end mark after the last one.
	 * @return whether the generation ended
	 */
	boolean produce() {
		if (this.produced < this.maxTokens) {
			append("data: {\"token\":\"t" + this.produced + "\"}\n\n");
			this.produced++;
			return false;
		}
		append("data: [DONE]\n\n");
		end();
		return true;
	}

	/**
	 * End the generation early. The answer then has no end mark.
	 */
	void cancel() {
		if (!this.ended) {
			end();
		}
	}

	private void end() {
		this.ended = true;
		if (this.reader != null && this.reader.isOpen()) {
			this.reader.endStream();
		}
	}

}
