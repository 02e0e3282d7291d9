import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes messages of HTTP/1.1. */
final class Http {

	private Http() {
	}

	/** A message: its first line, its headers by name in lower case, and its body. */
	record Message(String start, Map<String, String> headers, byte[] body) {

		String header(String name) {
			return this.headers.get(name.toLowerCase(Locale.ROOT));
		}

		int status() {
			return Integer.parseInt(this.start.split(" ")[1]);
		}

		String text() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

	}

	/** Reads a message with a length or chunks; null if the connection ends before it. */
	static Message read(InputStream in) throws IOException {
		Message head = head(in);
		return (head != null) ? new Message(head.start(), head.headers(), body(in, head)) : null;
	}

	static Message head(InputStream in) throws IOException {
		String start = line(in);
		if (start == null) {
			return null;
		}
		Map<String, String> headers = new LinkedHashMap<>();
		for (String line = needed(line(in)); !line.isEmpty(); line = needed(line(in))) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
		}
		return new Message(start, headers, new byte[0]);
	}

	static byte[] body(InputStream in, Message head) throws IOException {
		if ("chunked".equalsIgnoreCase(head.header("transfer-encoding"))) {
			java.io.ByteArrayOutputStream out = new java.io.ByteArrayOutputStream();
			for (int length = chunk(in); length > 0; length = chunk(in)) {
				out.write(bytes(in, length));
				line(in);
			}
			line(in);
			return out.toByteArray();
		}
		String length = head.header("content-length");
		return bytes(in, (length != null) ? Integer.parseInt(length) : 0);
	}

	private static int chunk(InputStream in) throws IOException {
		return Integer.parseInt(needed(line(in)).trim(), 16);
	}

	private static byte[] bytes(InputStream in, int length) throws IOException {
		byte[] bytes = in.readNBytes(length);
		if (bytes.length < length) {
			throw new EOFException("the body is incomplete");
		}
		return bytes;
	}

	private static String needed(String line) throws IOException {
		if (line == null) {
			throw new EOFException("the message is incomplete");
		}
		return line;
	}

	private static String line(InputStream in) throws IOException {
		StringBuilder line = new StringBuilder();
		for (int next = in.read(); next != '\n'; next = in.read()) {
			if (next < 0) {
				if (line.length() == 0) {
					return null;
				}
				throw new EOFException("a line is incomplete");
			}
			line.append((char) next);
		}
		int end = line.length();
		return (end > 0 && line.charAt(end - 1) == '\r') ? line.substring(0, end - 1) : line.toString();
	}

	static void write(OutputStream out, String start, Map<String, String> headers, byte[] body) throws IOException {
		StringBuilder head = new StringBuilder(start).append("\r\n");
		headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
		byte[] first = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
		byte[] all = new byte[first.length + body.length];
		System.arraycopy(first, 0, all, 0, first.length);
		System.arraycopy(body, 0, all, first.length, body.length);
		out.write(all);
		out.flush();
	}

}
