package org.acaciamux.internal.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * A plot of lines over time as an SVG image. Used by one thread.
 */
final class LinePlot {

	private static final int WIDTH = 800;

	private static final int HEIGHT = 400;

	private static final int MARGIN = 60;

	private static final int LEGEND_STEP = 16;

	/** Number of sections into which the grid divides each axis. */
	private static final int GRID_SECTIONS = 4;

	private static final List<String> COLOURS = List.of("#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e",
			"#8c564b");

	private final List<String> names = new ArrayList<>();

	private final List<List<Point>> lines = new ArrayList<>();

	private final String title;

	LinePlot(String title) {
		this.title = title;
	}

	void line(String name, List<Point> points) {
		this.names.add(name);
		this.lines.add(points);
	}

	String svg() {
		double maxX = max(true);
		double maxY = max(false);
		StringBuilder svg = new StringBuilder();
		svg.append("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + WIDTH + "\" height=\"" + HEIGHT
				+ "\" font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%\" height=\"100%\""
				+ " fill=\"white\"/>\n");
		text(svg, MARGIN, MARGIN / 2.0, this.title);
		for (int i = 0; i <= GRID_SECTIONS; i++) {
			double value = maxY * i / GRID_SECTIONS;
			double y = y(value, maxY);
			svg.append(format("<line x1=\"%d\" y1=\"%.1f\" x2=\"%d\" y2=\"%.1f\" stroke=\"#dddddd\"/>%n", MARGIN, y,
					WIDTH - MARGIN, y));
			text(svg, 2, y, format((maxY > GRID_SECTIONS) ? "%.0f" : "%.2f", value));
			double second = maxX * i / GRID_SECTIONS;
			text(svg, x(second, maxX), HEIGHT - MARGIN / 2.0, format("%.0f s", second));
		}
		for (int i = 0; i < this.lines.size(); i++) {
			String colour = COLOURS.get(i % COLOURS.size());
			svg.append("<polyline fill=\"none\" stroke=\"" + colour + "\" points=\"");
			for (Point point : this.lines.get(i)) {
				svg.append(format("%.1f,%.1f ", x(point.x(), maxX), y(point.y(), maxY)));
			}
			svg.append("\"/>\n");
			svg.append(format("<text x=\"%d\" y=\"%d\" fill=\"%s\">%s</text>%n", WIDTH / 2,
					MARGIN / 2 + i * LEGEND_STEP, colour, this.names.get(i)));
		}
		return svg.append("</svg>\n").toString();
	}

	private double max(boolean horizontal) {
		return Math.max(1e-9,
				this.lines.stream()
					.flatMap(List::stream)
					.mapToDouble((point) -> horizontal ? point.x() : point.y())
					.max()
					.orElse(1));
	}

	private static double x(double value, double max) {
		return MARGIN + (WIDTH - 2 * MARGIN) * value / max;
	}

	private static double y(double value, double max) {
		return HEIGHT - MARGIN - (HEIGHT - 2 * MARGIN) * value / max;
	}

	private static void text(StringBuilder svg, double x, double y, String text) {
		svg.append(format("<text x=\"%.1f\" y=\"%.1f\">%s</text>%n", x, y, text));
	}

	private static String format(String pattern, Object... values) {
		return String.format(Locale.ROOT, pattern, values);
	}

	/**
	 * A point of a line.
	 *
	 * @param x the second
	 * @param y the value
	 */
	record Point(double x, double y) {
	}

}
