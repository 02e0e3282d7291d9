import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Minimal JSON reader and writer: maps, lists, strings, numbers, booleans, null. */
final class Json {

	private final String text;

	private int at;

	private Json(String text) {
		this.text = text;
	}

	static Object read(String text) {
		return new Json(text).value();
	}

	private void skipBlanks() {
		while (this.at < this.text.length() && this.text.charAt(this.at) <= ' ') {
			this.at++;
		}
	}

	private Object value() {
		skipBlanks();
		char c = this.text.charAt(this.at);
		if (c == '{') {
			return map();
		}
		if (c == '[') {
			return list();
		}
		if (c == '"') {
			return string();
		}
		int start = this.at;
		while (this.at < this.text.length() && ",]} \r\n\t".indexOf(this.text.charAt(this.at)) < 0) {
			this.at++;
		}
		String word = this.text.substring(start, this.at);
		return switch (word) {
			case "true" -> Boolean.TRUE;
			case "false" -> Boolean.FALSE;
			case "null" -> null;
			default -> word.matches("-?\\d{1,18}") ? (Object) Long.valueOf(word) : Double.valueOf(word);
		};
	}

	private Map<String, Object> map() {
		Map<String, Object> result = new LinkedHashMap<>();
		this.at++;
		skipBlanks();
		while (this.text.charAt(this.at) != '}') {
			skipBlanks();
			String key = string();
			skipBlanks();
			this.at++;
			result.put(key, value());
			skipBlanks();
			if (this.text.charAt(this.at) == ',') {
				this.at++;
			}
			skipBlanks();
		}
		this.at++;
		return result;
	}

	private List<Object> list() {
		List<Object> result = new ArrayList<>();
		this.at++;
		skipBlanks();
		while (this.text.charAt(this.at) != ']') {
			result.add(value());
			skipBlanks();
			if (this.text.charAt(this.at) == ',') {
				this.at++;
			}
			skipBlanks();
		}
		this.at++;
		return result;
	}

	private String string() {
		StringBuilder out = new StringBuilder();
		this.at++;
		while (this.text.charAt(this.at) != '"') {
			char c = this.text.charAt(this.at++);
			if (c != '\\') {
				out.append(c);
				continue;
			}
			char escape = this.text.charAt(this.at++);
			switch (escape) {
				case 'n' -> out.append('\n');
				case 't' -> out.append('\t');
				case 'r' -> out.append('\r');
				case 'b' -> out.append('\b');
				case 'f' -> out.append('\f');
				case 'u' -> {
					out.append((char) Integer.parseInt(this.text.substring(this.at, this.at + 4), 16));
					this.at += 4;
				}
				default -> out.append(escape);
			}
		}
		this.at++;
		return out.toString();
	}

	/** A string of JSON that is written with one byte that is not UTF-8 in its middle. */
	static final String UNREADABLE = "unreadable \u0080 bytes";

	/** Writes a value in UTF-8, except for {@link #UNREADABLE}. */
	static byte[] bytes(Object value) {
		byte[] text = write(value).getBytes(StandardCharsets.UTF_8);
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		for (int i = 0; i < text.length; i++) {
			boolean marked = text[i] == (byte) 0xC2 && i + 1 < text.length && text[i + 1] == (byte) 0x80;
			if (!marked) {
				out.write(text[i]);
			}
		}
		return out.toByteArray();
	}

	static String write(Object value) {
		StringBuilder out = new StringBuilder();
		write(value, out);
		return out.toString();
	}

	private static void write(Object value, StringBuilder out) {
		if (value instanceof Map<?, ?> map) {
			out.append('{');
			String comma = "";
			for (Map.Entry<?, ?> entry : map.entrySet()) {
				out.append(comma);
				write(entry.getKey(), out);
				out.append(':');
				write(entry.getValue(), out);
				comma = ",";
			}
			out.append('}');
		}
		else if (value instanceof Iterable<?> list) {
			out.append('[');
			String comma = "";
			for (Object entry : list) {
				out.append(comma);
				write(entry, out);
				comma = ",";
			}
			out.append(']');
		}
		else if (value instanceof String text) {
			out.append('"');
			for (char c : text.toCharArray()) {
				if (c == '"' || c == '\\') {
					out.append('\\').append(c);
				}
				else if (c < ' ') {
					out.append(String.format("\\u%04x", (int) c));
				}
				else {
					out.append(c);
				}
			}
			out.append('"');
		}
		else {
			out.append(value);
		}
	}

}
