package org.acaciamux.internal.event;

import java.nio.charset.StandardCharsets;

/**
 * Text from other processes as a part of a log line. Invariant: it can neither end its
 * line or field nor make a line longer than a write. Holds no state.
 */
public final class LogText {

	/** Stands for an identifier that is not known. */
	public static final String UNKNOWN = "-";

	/** Characters of an identifier that are kept. */
	static final int MAX_ID_CHARS = 64;

	/** Characters of a text in quotes that are kept. */
	static final int MAX_QUOTED_CHARS = 512;

	/** Room for the number of bytes that were cut off. */
	private static final int CUT_BYTES = 24;

	private static final int UTF_8_CONTINUATION_MASK = 0xC0;

	private static final int UTF_8_CONTINUATION = 0x80;

	private LogText() {
	}

	/**
	 * Return an identifier as the value of a field without quotes.
	 * @param text the identifier
	 * @return its printable characters, with {@code ?} in place of the others and the
	 * number of those that were cut off
	 */
	public static String id(String text) {
		StringBuilder id = new StringBuilder(shortened(text, MAX_ID_CHARS));
		for (int i = 0; i < id.length(); i++) {
			char c = id.charAt(i);
			if (c <= ' ' || c >= 127 || c == '"') {
				id.setCharAt(i, '?');
			}
		}
		return id.isEmpty() ? UNKNOWN : id.toString();
	}

	/**
	 * Return a text as the value of a field in quotes.
	 * @param text the text
	 * @return the field's value with its quotes
	 */
	public static String quoted(String text) {
		return '"' + shortened(text, MAX_QUOTED_CHARS).replace('"', '\'') + '"';
	}

	private static String shortened(String text, int max) {
		return (text.length() <= max) ? text : text.substring(0, max) + '~' + (text.length() - max);
	}

	/**
	 * Encode a line.
	 * @param text the line, without its end
	 * @param maxBytes longest result
	 * @return the line with its end, control characters replaced by spaces
	 */
	static byte[] line(String text, int maxBytes) {
		byte[] bytes = (withoutControls(text) + '\n').getBytes(StandardCharsets.UTF_8);
		if (bytes.length <= maxBytes) {
			return bytes;
		}
		int kept = maxBytes - CUT_BYTES;
		while ((bytes[kept] & UTF_8_CONTINUATION_MASK) == UTF_8_CONTINUATION) {
			kept--;
		}
		return (new String(bytes, 0, kept, StandardCharsets.UTF_8) + " cutBytes=" + (bytes.length - 1 - kept) + '\n')
			.getBytes(StandardCharsets.UTF_8);
	}

	private static String withoutControls(String text) {
		if (text.chars().noneMatch(LogText::control)) {
			return text;
		}
		StringBuilder result = new StringBuilder(text);
		for (int i = 0; i < result.length(); i++) {
			if (control(result.charAt(i))) {
				result.setCharAt(i, ' ');
			}
		}
		return result.toString();
	}

	private static boolean control(int c) {
		return Character.isISOControl(c) || c == '\u2028' || c == '\u2029';
	}

}
