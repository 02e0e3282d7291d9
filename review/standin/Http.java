import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 messages on a blocking stream. */
final class Http {

	private Http() {
	}

	/** A message: its first line, its headers by lower-case name, and its body. */
	record Message(String start, Map<String, String> headers, byte[] body) {

		String header(String name) {
			return this.headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
		}

		int status() {
			return Integer.parseInt(this.start.split(" ")[1]);
		}

		String text() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

	}

	/** Reads a message, null if the stream ends before its first byte. */
	static Message read(InputStream in) throws IOException {
		ByteArrayOutputStream head = new ByteArrayOutputStream();
		int ends = 0;
		while (ends < 4) {
			int c = in.read();
			if (c < 0) {
				if (head.size() == 0) {
					return null;
				}
				throw new EOFException("the stream ended inside a head");
			}
			head.write(c);
			ends = (c == ((ends % 2 == 0) ? '\r' : '\n')) ? ends + 1 : (c == '\r') ? 1 : 0;
		}
		String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n");
		Map<String, String> headers = new LinkedHashMap<>();
		for (int i = 1; i < lines.length; i++) {
			int colon = lines[i].indexOf(':');
			headers.put(lines[i].substring(0, colon).trim().toLowerCase(Locale.ROOT),
					lines[i].substring(colon + 1).trim());
		}
		byte[] body = new byte[0];
		if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
			body = chunks(in);
		}
		else if (headers.containsKey("content-length")) {
			body = exactly(in, Integer.parseInt(headers.get("content-length")));
		}
		return new Message(lines[0], headers, body);
	}

	private static byte[] exactly(InputStream in, int length) throws IOException {
		byte[] bytes = in.readNBytes(length);
		if (bytes.length < length) {
			throw new EOFException("the stream ended inside a body");
		}
		return bytes;
	}

	private static byte[] chunks(InputStream in) throws IOException {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		while (true) {
			int length = Integer.parseInt(line(in).split(";")[0].trim(), 16);
			body.write(exactly(in, length));
			line(in);
			if (length == 0) {
				return body.toByteArray();
			}
		}
	}

	private static String line(InputStream in) throws IOException {
		StringBuilder line = new StringBuilder();
		for (int c = in.read(); c != '\n'; c = in.read()) {
			if (c < 0) {
				throw new EOFException("the stream ended inside a chunk");
			}
			if (c != '\r') {
				line.append((char) c);
			}
		}
		return line.toString();
	}

}
