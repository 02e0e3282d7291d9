package org.acaciamux.internal.cli;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;

import org.acaciamux.internal.coordination.platform.StoredObject;

/**
 * The {@code FleetStatus} objects of all failure domains at one time. Missing fields are
 * read as zero or empty, so that the status of an older writer can still be shown.
 * Immutable and thread-safe.
 *
 * @param domains the failure domains by name
 */
record FleetView(List<Domain> domains) {

	/** Kind under which the platform stores these objects. */
	static final String KIND = "FleetStatus";

	FleetView {
		domains = List.copyOf(domains);
	}

	static FleetView of(List<StoredObject> objects) {
		return new FleetView(objects.stream().map(Domain::of).sorted(Comparator.comparing(Domain::name)).toList());
	}

	Optional<Domain> domain(String name) {
		return this.domains.stream().filter((domain) -> domain.name().equals(name)).findFirst();
	}

	long highestRevision() {
		return this.domains.stream().mapToLong(Domain::highestRevision).max().orElse(0);
	}

	long lowestRevision() {
		return this.domains.stream().mapToLong(Domain::lowestRevision).min().orElse(0);
	}

	List<Pool> pools() {
		Map<String, Pool> pools = new TreeMap<>();
		this.domains.forEach((domain) -> domain.pools().forEach((pool) -> pools.merge(pool.name(), pool, Pool::plus)));
		return List.copyOf(pools.values());
	}

	/**
	 * Return the backlog summed over all failure domains.
	 * @return the entries with waiting requests, oldest first
	 */
	List<BacklogEntry> backlog() {
		Map<String, BacklogEntry> sums = new HashMap<>();
		for (Domain domain : this.domains) {
			domain.backlog().forEach((entry) -> sums.merge(entry.key(), entry, BacklogEntry::plus));
		}
		return sums.values()
			.stream()
			.filter((entry) -> entry.count() > 0)
			.sorted(Comparator.comparingLong(BacklogEntry::oldestMs).reversed().thenComparing(BacklogEntry::key))
			.toList();
	}

	/**
	 * Status of one failure domain.
	 *
	 * @param name the name
	 * @param lowestRevision the lowest revision in force in a process
	 * @param highestRevision the highest revision in force in a process
	 * @param processes the number of processes
	 * @param laggard id of the process with the lowest revision, empty if there is none
	 * @param updatedAtMs when the status was written, in milliseconds since 1970
	 * @param controlBytesPerSecond control traffic per process in bytes per second
	 * @param pools the pools as seen in this failure domain
	 * @param backlog the waiting requests in this failure domain
	 */
	record Domain(String name, long lowestRevision, long highestRevision, long processes, String laggard,
			long updatedAtMs, long controlBytesPerSecond, List<Pool> pools, List<BacklogEntry> backlog) {

		private static Domain of(StoredObject object) {
			JsonNode value = object.value();
			List<Pool> pools = new ArrayList<>();
			value.path("pools").forEach((pool) -> pools.add(Pool.of(pool)));
			List<BacklogEntry> backlog = new ArrayList<>();
			value.path("backlog").forEach((entry) -> backlog.add(BacklogEntry.of(entry)));
			return new Domain(value.path("failureDomain").asText(object.name()), value.path("lowestRevision").asLong(),
					value.path("highestRevision").asLong(), value.path("processes").asLong(),
					value.path("laggard").asText(""), value.path("updatedAtMs").asLong(),
					value.path("controlBytesPerSecond").asLong(), pools, backlog);
		}

	}

	/**
	 * Status of one pool, in one failure domain or summed over all.
	 *
	 * @param name the name
	 * @param members the number of live backend servers
	 * @param load the sum of the loads of the backend servers
	 * @param busiest the load of the most loaded backend server
	 * @param queued the number of waiting requests
	 * @param reuse share of the returning chats that reached the backend server that
	 * holds their context, 0.0 to 1.0; empty if not reported
	 * @param leaving ids of the members that are leaving
	 * @param refusals number of refused requests by failure code
	 */
	record Pool(String name, long members, double load, double busiest, long queued, Optional<Double> reuse,
			List<String> leaving, Map<String, Long> refusals) {

		private static Pool of(JsonNode node) {
			List<String> leaving = new ArrayList<>();
			node.path("leaving").forEach((id) -> leaving.add(id.asText()));
			Map<String, Long> refusals = new TreeMap<>();
			node.path("refusals")
				.forEach((entry) -> refusals.merge(entry.path("code").asText("?"), entry.path("count").asLong(),
						Long::sum));
			Optional<Double> reuse = Optional.of(node.path("reuse")).filter(JsonNode::isNumber).map(JsonNode::asDouble);
			return new Pool(node.path("pool").asText("?"), node.path("members").asLong(), node.path("load").asDouble(),
					node.path("busiest").asDouble(), node.path("queued").asLong(), reuse, leaving, refusals);
		}

		private Pool plus(Pool other) {
			List<String> allLeaving = Stream.concat(this.leaving.stream(), other.leaving.stream()).distinct().toList();
			Map<String, Long> allRefusals = new TreeMap<>(this.refusals);
			other.refusals.forEach((code, count) -> allRefusals.merge(code, count, Long::sum));
			return new Pool(this.name, this.members + other.members, this.load + other.load,
					Math.max(this.busiest, other.busiest), this.queued + other.queued, reuseWith(other), allLeaving,
					allRefusals);
		}

		/**
		 * Return the reuse of two failure domains together, weighted by their members.
		 * @param other the other failure domain
		 * @return the reuse, empty if neither reports one
		 */
		private Optional<Double> reuseWith(Pool other) {
			if (this.reuse.isEmpty() || other.reuse.isEmpty() || this.members + other.members == 0) {
				return this.reuse.or(other::reuse);
			}
			return Optional.of((this.reuse.get() * this.members + other.reuse.get() * other.members)
					/ (this.members + other.members));
		}

		double meanLoad() {
			return (this.members == 0) ? 0 : this.load / this.members;
		}

		Optional<Double> skew() {
			return (meanLoad() == 0) ? Optional.empty() : Optional.of(this.busiest / meanLoad());
		}

	}

	/**
	 * Waiting requests of one pool, organisation and priority.
	 *
	 * @param pool the pool
	 * @param organisation the organisation
	 * @param priority the priority
	 * @param count the number of waiting requests
	 * @param oldestMs age of the oldest request in milliseconds
	 */
	record BacklogEntry(String pool, String organisation, String priority, long count, long oldestMs) {

		private static BacklogEntry of(JsonNode node) {
			return new BacklogEntry(node.path("pool").asText("?"), node.path("organisation").asText("?"),
					node.path("priority").asText("?"), node.path("count").asLong(), node.path("oldestMs").asLong());
		}

		private BacklogEntry plus(BacklogEntry other) {
			return new BacklogEntry(this.pool, this.organisation, this.priority, this.count + other.count,
					Math.max(this.oldestMs, other.oldestMs));
		}

		String key() {
			return this.pool + " " + this.organisation + " " + this.priority;
		}

	}

}
