package org.acaciamux.process;

import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;

/**
 * Reads a streamed answer piece by piece. Not thread-safe.
 */
final class TokenStream implements AutoCloseable {

	private final HttpResponse<InputStream> response;

	private final StringBuilder text = new StringBuilder();

	private boolean broken;

	TokenStream(HttpResponse<InputStream> response) {
		this.response = response;
	}

	static TokenStream open(TestFleet fleet, int router, String chat, int tokens) {
		return new TokenStream(fleet.fleet.caller()
			.openStream(fleet.router(router).httpPort(), TestFleet.CHAT_PATH, TestFleet.prompt(chat, tokens),
					TestFleet.chatHeaders(chat)));
	}

	int status() {
		return this.response.statusCode();
	}

	String server() {
		return this.response.headers().firstValue("Acaciamux-Server").orElse("");
	}

	/**
	 * Read until the text contains a given part, the answer ends or the connection
	 * breaks.
	 * @param part the part
	 * @return all text read so far
	 */
	String readUntil(String part) {
		byte[] buffer = new byte[4096];
		try {
			while (this.text.indexOf(part) < 0) {
				int count = this.response.body().read(buffer);
				if (count < 0) {
					return this.text.toString();
				}
				this.text.append(new String(buffer, 0, count, StandardCharsets.UTF_8));
			}
		}
		catch (IOException ex) {
			this.broken = true;
		}
		return this.text.toString();
	}

	/**
	 * Read until the answer ends or the connection breaks.
	 * @return all text
	 */
	String readAll() {
		return readUntil("a text that no answer contains");
	}

	/**
	 * Return whether reading or closing the answer failed, because the connection broke
	 * before the end of the answer.
	 * @return whether it failed
	 */
	boolean isBroken() {
		return this.broken;
	}

	@Override
	public void close() {
		try {
			this.response.body().close();
		}
		catch (IOException ex) {
			this.broken = true;
		}
	}

}
