package org.acaciamux.internal.transport.http.direct;

import java.util.OptionalLong;

import io.netty.handler.codec.http.HttpResponse;

/**
 * Reads how long a server keeps an idle connection. Stateless and thread-safe.
 */
final class KeepAlive {

	private static final String TIMEOUT = "timeout=";

	/** Digits of a limit that is believed, in seconds. */
	private static final int MAX_DIGITS = 8;

	private KeepAlive() {
	}

	/**
	 * Read the limit that a response states.
	 * @param response the head of the response
	 * @return the limit in milliseconds, empty if none can be read
	 */
	static OptionalLong limitMs(HttpResponse response) {
		String value = response.headers().get("Keep-Alive");
		int key = (value != null) ? value.indexOf(TIMEOUT) : -1;
		if (key < 0) {
			return OptionalLong.empty();
		}
		int start = key + TIMEOUT.length();
		int end = start;
		while (end < value.length() && Character.isDigit(value.charAt(end))) {
			end++;
		}
		boolean readable = end > start && end - start <= MAX_DIGITS;
		return readable ? OptionalLong.of(Long.parseLong(value, start, end, 10) * 1000) : OptionalLong.empty();
	}

}
