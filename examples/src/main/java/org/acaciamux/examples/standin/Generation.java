package org.acaciamux.examples.standin;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * One running or ended completion of the engine stand-in. Keeps the bytes of its answer
 * so that a reader can resume at an offset; at most one reader is attached. Not
 * thread-safe.
 */
final class Generation {

	private final String requestId;

	private final String chat;

	private final int promptTokens;

	private final int maxTokens;

	private final int level;

	private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

	private Exchange reader;

	private int produced;

	private boolean ended;

	Generation(String requestId, String chat, int promptTokens, int maxTokens, int level) {
		this.requestId = requestId;
		this.chat = chat;
		this.promptTokens = promptTokens;
		this.maxTokens = maxTokens;
		this.level = level;
	}

	String requestId() {
		return this.requestId;
	}

	String chat() {
		return this.chat;
	}

	int level() {
		return this.level;
	}

	boolean isEnded() {
		return this.ended;
	}

	int contextTokens() {
		return this.promptTokens + this.produced;
	}

	/**
	 * Send the answer from an offset to a reader, which replaces an earlier one.
	 * @param exchange the reader
	 * @param offset the offset of the first byte that it wants
	 */
	void attach(Exchange exchange, int offset) {
		if (this.reader != null && this.reader != exchange) {
			this.reader.abort();
		}
		this.reader = exchange;
		exchange.beginStream("text/event-stream");
		byte[] all = this.bytes.toByteArray();
		if (offset < all.length) {
			exchange.write(Arrays.copyOfRange(all, offset, all.length));
		}
		if (this.ended) {
			exchange.endStream();
		}
	}

	void append(String event) {
		byte[] part = event.getBytes(StandardCharsets.UTF_8);
		this.bytes.writeBytes(part);
		if (this.reader != null && this.reader.isOpen()) {
			this.reader.write(part);
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
	 * End early; the answer ends without the end mark.
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
