package org.acaciamux.internal.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Formats the state of the fleet as tables or JSON. Immutable and thread-safe.
 *
 * @param sample the views of the fleet
 * @param health the health derived from the views
 * @param nowMs the time of reading in milliseconds since 1970
 */
record StatusPage(FleetSample sample, FleetHealth health, long nowMs) {

	private static final String RED = "\u001b[31m";

	private static final String GREEN = "\u001b[32m";

	private static final String RESET = "\u001b[0m";

	private static final String NONE = "-";

	List<String> tables(Console console) {
		List<String> lines = new ArrayList<>();
		lines.add(headline(console));
		this.health.reasons().forEach((reason) -> lines.add("reason: " + reason));
		this.health.notes().forEach((note) -> lines.add("note: " + note));
		add(lines, "configuration in force by failure domain", domainTable(), console);
		add(lines, "pools", poolTable(), console);
		add(lines, "backlog", backlogTable(), console);
		add(lines, "refusals", refusalTable(), console);
		return lines;
	}

	private String headline(Console console) {
		String word = this.health.healthy() ? "healthy" : "not healthy";
		String colour = this.health.healthy() ? GREEN : RED;
		return console.usesColours() ? colour + word + RESET : word;
	}

	private static void add(List<String> lines, String title, Table table, Console console) {
		if (!table.isEmpty()) {
			lines.add("");
			lines.add(title);
			lines.addAll(table.lines(console));
		}
	}

	private Table domainTable() {
		Table table = new Table("FAILURE DOMAIN", "WRITTEN", "PROCESSES", "LOWEST REVISION", "HIGHEST REVISION",
				"LAGGARD", "CONTROL B/S PER NODE");
		for (FleetView.Domain domain : this.sample.last().domains()) {
			table.row(domain.name(), statusAge(domain), domain.processes(), domain.lowestRevision(),
					domain.highestRevision(), orNone(domain.laggard()), domain.controlBytesPerSecond());
		}
		return table;
	}

	String statusAge(FleetView.Domain domain) {
		if (domain.updatedAtMs() == 0) {
			return "unknown";
		}
		String stale = FleetHealth.isStale(domain, this.nowMs) ? " (stale)" : "";
		return Durations.format(this.nowMs - domain.updatedAtMs()) + " ago" + stale;
	}

	private Table poolTable() {
		Table table = new Table("POOL", "MEMBERS", "LOAD", "MEAN", "BUSIEST", "BUSIEST/MEAN", "QUEUED", "CACHE REUSE",
				"LEAVING");
		for (FleetView.Pool pool : this.sample.last().pools()) {
			table.row(pool.name(), pool.members(), number(pool.load()), number(pool.meanLoad()), number(pool.busiest()),
					pool.skew().map(StatusPage::number).orElse(NONE), pool.queued(),
					pool.reuse().map((reuse) -> number(100 * reuse) + " %").orElse(NONE),
					orNone(String.join(",", pool.leaving())));
		}
		return table;
	}

	Table backlogTable() {
		Map<String, Long> changes = this.sample.backlogChange();
		Table table = new Table("POOL", "ORGANISATION", "PRIORITY", "WAITING", "OLDEST", "CHANGE");
		for (FleetView.BacklogEntry entry : this.sample.last().backlog()) {
			String change = Optional.ofNullable(changes.get(entry.key()))
				.map((value) -> String.format(Locale.ROOT, "%+d", value))
				.orElse("unknown");
			table.row(entry.pool(), entry.organisation(), entry.priority(), entry.count(),
					Durations.format(entry.oldestMs()), change);
		}
		return table;
	}

	private Table refusalTable() {
		Table table = new Table("POOL", "CODE", "COUNT", "MEANING");
		for (FleetView.Pool pool : this.sample.last().pools()) {
			pool.refusals().forEach((code, count) -> table.row(pool.name(), code, count, RefusalMeaning.of(code)));
		}
		return table;
	}

	ObjectNode json() {
		ObjectNode node = Documents.JSON.createObjectNode();
		node.put("healthy", this.health.healthy());
		this.health.reasons().forEach(node.putArray("reasons")::add);
		this.health.notes().forEach(node.putArray("notes")::add);
		ArrayNode domains = node.putArray("failureDomains");
		for (FleetView.Domain domain : this.sample.last().domains()) {
			domains.addObject()
				.put("failureDomain", domain.name())
				.put("ageMs", this.nowMs - domain.updatedAtMs())
				.put("stale", FleetHealth.isStale(domain, this.nowMs))
				.put("processes", domain.processes())
				.put("lowestRevision", domain.lowestRevision())
				.put("highestRevision", domain.highestRevision())
				.put("laggard", domain.laggard())
				.put("controlBytesPerSecond", domain.controlBytesPerSecond());
		}
		ArrayNode pools = node.putArray("pools");
		this.sample.last().pools().forEach((pool) -> pools.add(json(pool)));
		node.set("backlog", backlogJson());
		return node;
	}

	private static ObjectNode json(FleetView.Pool pool) {
		ObjectNode node = Documents.JSON.createObjectNode();
		node.put("pool", pool.name())
			.put("members", pool.members())
			.put("load", pool.load())
			.put("mean", pool.meanLoad())
			.put("busiest", pool.busiest())
			.put("queued", pool.queued());
		pool.skew().ifPresent((skew) -> node.put("busiestOverMean", skew));
		pool.reuse().ifPresent((reuse) -> node.put("reuse", reuse));
		pool.leaving().forEach(node.putArray("leaving")::add);
		ArrayNode refusals = node.putArray("refusals");
		pool.refusals().forEach((code, count) -> refusals.addObject().put("code", code).put("count", count));
		return node;
	}

	ArrayNode backlogJson() {
		Map<String, Long> changes = this.sample.backlogChange();
		ArrayNode node = Documents.JSON.createArrayNode();
		for (FleetView.BacklogEntry entry : this.sample.last().backlog()) {
			ObjectNode item = node.addObject()
				.put("pool", entry.pool())
				.put("organisation", entry.organisation())
				.put("priority", entry.priority())
				.put("count", entry.count())
				.put("oldestMs", entry.oldestMs());
			Optional.ofNullable(changes.get(entry.key())).ifPresent((change) -> item.put("change", change));
		}
		return node;
	}

	private static String orNone(String text) {
		return text.isEmpty() ? NONE : text;
	}

	private static String number(double value) {
		return String.format(Locale.ROOT, "%.2f", value);
	}

}
