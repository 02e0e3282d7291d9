import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, longs, doubles, booleans and null. */
final class Json {

	private final String text;

	private int at;

	private Json(String text) {
		this.text = text;
	}

	static Object read(String text) {
		Json json = new Json(text);
		Object value = json.value();
		json.space();
		if (json.at != text.length()) {
			throw new IllegalArgumentException("more than one JSON value");
		}
		return value;
	}

	@SuppressWarnings("unchecked")
	static Map<String, Object> object(String text) {
		return (Map<String, Object>) read(text);
	}

	private void space() {
		while (this.at < this.text.length() && Character.isWhitespace(this.text.charAt(this.at))) {
			this.at++;
		}
	}

	private boolean take(char next) {
		space();
		if (this.at < this.text.length() && this.text.charAt(this.at) == next) {
			this.at++;
			return true;
		}
		return false;
	}

	private void need(char next) {
		if (!take(next)) {
			throw new IllegalArgumentException("expected " + next + " at " + this.at);
		}
	}

	private Object value() {
		space();
		char first = this.text.charAt(this.at);
		if (first == '{') {
			return object();
		}
		if (first == '[') {
			return array();
		}
		if (first == '"') {
			return string();
		}
		int from = this.at;
		while (this.at < this.text.length() && ",]} \r\n\t".indexOf(this.text.charAt(this.at)) < 0) {
			this.at++;
		}
		String word = this.text.substring(from, this.at);
		return switch (word) {
			case "true" -> true;
			case "false" -> false;
			case "null" -> null;
			default -> word.matches("-?\\d{1,18}") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
		};
	}

	private Map<String, Object> object() {
		Map<String, Object> map = new LinkedHashMap<>();
		need('{');
		if (take('}')) {
			return map;
		}
		do {
			space();
			String name = string();
			need(':');
			map.put(name, value());
		}
		while (take(','));
		need('}');
		return map;
	}

	private List<Object> array() {
		List<Object> list = new ArrayList<>();
		need('[');
		if (take(']')) {
			return list;
		}
		do {
			list.add(value());
		}
		while (take(','));
		need(']');
		return list;
	}

	private String string() {
		need('"');
		StringBuilder result = new StringBuilder();
		while (this.text.charAt(this.at) != '"') {
			char next = this.text.charAt(this.at++);
			if (next != '\\') {
				result.append(next);
				continue;
			}
			char escaped = this.text.charAt(this.at++);
			switch (escaped) {
				case 'n' -> result.append('\n');
				case 'r' -> result.append('\r');
				case 't' -> result.append('\t');
				case 'b' -> result.append('\b');
				case 'f' -> result.append('\f');
				case 'u' -> {
					result.append((char) Integer.parseInt(this.text.substring(this.at, this.at + 4), 16));
					this.at += 4;
				}
				default -> result.append(escaped);
			}
		}
		this.at++;
		return result.toString();
	}

	static String write(Object value) {
		StringBuilder out = new StringBuilder();
		write(value, out);
		return out.toString();
	}

	private static void write(Object value, StringBuilder out) {
		if (value instanceof Map<?, ?> map) {
			String separator = "{";
			for (Map.Entry<?, ?> entry : map.entrySet()) {
				out.append(separator);
				write(entry.getKey(), out);
				out.append(':');
				write(entry.getValue(), out);
				separator = ",";
			}
			out.append(map.isEmpty() ? "{}" : "}");
		}
		else if (value instanceof List<?> list) {
			String separator = "[";
			for (Object each : list) {
				out.append(separator);
				write(each, out);
				separator = ",";
			}
			out.append(list.isEmpty() ? "[]" : "]");
		}
		else if (value instanceof String string) {
			out.append('"');
			for (char each : string.toCharArray()) {
				if (each == '"' || each == '\\') {
					out.append('\\').append(each);
				}
				else if (each < ' ') {
					out.append(String.format("\\u%04x", (int) each));
				}
				else {
					out.append(each);
				}
			}
			out.append('"');
		}
		else {
			out.append(value);
		}
	}

}
