package org.acaciamux.internal.cli;

import java.util.ArrayList;
import java.util.List;

/**
 * Table with a header. On a terminal, columns are padded and bordered; otherwise columns
 * are separated by tabs, so that programs can read them. Not thread-safe.
 */
final class Table {

	private static final String BOLD = "\u001b[1m";

	private static final String RESET = "\u001b[0m";

	private final List<List<String>> rows = new ArrayList<>();

	Table(String... header) {
		this.rows.add(List.of(header));
	}

	Table row(Object... cells) {
		List<String> row = new ArrayList<>();
		for (Object cell : cells) {
			row.add(String.valueOf(cell).replaceAll("[\\p{Cntrl}]", " "));
		}
		this.rows.add(row);
		return this;
	}

	boolean isEmpty() {
		return this.rows.size() == 1;
	}

	List<String> lines(Console console) {
		if (!console.terminal()) {
			return this.rows.stream().map((row) -> String.join("\t", row)).toList();
		}
		int[] widths = widths();
		List<String> lines = new ArrayList<>();
		lines.add(border(widths));
		for (List<String> row : this.rows) {
			boolean header = lines.size() == 1;
			String line = padded(row, widths);
			lines.add((header && console.usesColours()) ? BOLD + line + RESET : line);
			if (header) {
				lines.add(border(widths));
			}
		}
		lines.add(border(widths));
		return lines;
	}

	private int[] widths() {
		int[] widths = new int[this.rows.get(0).size()];
		for (List<String> row : this.rows) {
			for (int i = 0; i < widths.length; i++) {
				widths[i] = Math.max(widths[i], row.get(i).length());
			}
		}
		return widths;
	}

	private static String padded(List<String> row, int[] widths) {
		StringBuilder line = new StringBuilder("|");
		for (int i = 0; i < widths.length; i++) {
			line.append(' ').append(row.get(i)).append(" ".repeat(widths[i] - row.get(i).length())).append(" |");
		}
		return line.toString();
	}

	private static String border(int[] widths) {
		StringBuilder line = new StringBuilder("+");
		for (int width : widths) {
			line.append("-".repeat(width + 2)).append('+');
		}
		return line.toString();
	}

}
