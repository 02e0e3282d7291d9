package org.acaciamux.internal.process;

import java.util.Locale;
import java.util.Map;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;

/**
 * Writes a metric registry in the text exposition format that monitoring systems read. A
 * name {@code acaciamux.peer.bytes-sent} becomes {@code acaciamux_peer_bytes_sent}.
 * Thread-safe; holds no state.
 */
public final class MetricsText {

	private static final double NANOS_PER_SECOND = 1_000_000_000.0;

	private MetricsText() {
	}

	/**
	 * Write all metrics of a registry.
	 * @param registry the registry
	 * @return the text
	 */
	public static String write(MetricRegistry registry) {
		StringBuilder out = new StringBuilder();
		for (Map.Entry<String, Counter> entry : registry.getCounters().entrySet()) {
			line(out, name(entry.getKey()), "gauge", entry.getValue().getCount());
		}
		for (Map.Entry<String, Meter> entry : registry.getMeters().entrySet()) {
			line(out, name(entry.getKey()) + "_total", "counter", entry.getValue().getCount());
		}
		registry.getGauges().forEach((key, gauge) -> gauge(out, key, gauge));
		for (Map.Entry<String, Histogram> entry : registry.getHistograms().entrySet()) {
			summary(out, name(entry.getKey()), entry.getValue().getSnapshot(), entry.getValue().getCount(), 1.0);
		}
		for (Map.Entry<String, Timer> entry : registry.getTimers().entrySet()) {
			summary(out, name(entry.getKey()) + "_seconds", entry.getValue().getSnapshot(), entry.getValue().getCount(),
					NANOS_PER_SECOND);
		}
		return out.toString();
	}

	private static void gauge(StringBuilder out, String key, Gauge<?> gauge) {
		if (gauge.getValue() instanceof Number value) {
			line(out, name(key), "gauge", value);
		}
	}

	private static void summary(StringBuilder out, String name, Snapshot snapshot, long count, double unit) {
		out.append("# TYPE ").append(name).append(" summary\n");
		quantile(out, name, "0.5", snapshot.getMedian() / unit);
		quantile(out, name, "0.95", snapshot.get95thPercentile() / unit);
		quantile(out, name, "0.99", snapshot.get99thPercentile() / unit);
		out.append(name).append("_count ").append(count).append('\n');
	}

	private static void quantile(StringBuilder out, String name, String quantile, double value) {
		out.append(name).append("{quantile=\"").append(quantile).append("\"} ").append(value).append('\n');
	}

	private static void line(StringBuilder out, String name, String type, Number value) {
		out.append("# TYPE ").append(name).append(' ').append(type).append('\n');
		out.append(name).append(' ').append(value).append('\n');
	}

	private static String name(String key) {
		return key.toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9_]", "_");
	}

}
