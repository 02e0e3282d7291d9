package org.acaciamux.internal.state.record;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against older versions that replace newer ones, deleted records that come back,
 * and unreadable records that take a pool out of service.
 */
public class RecordTableTests {

	private final RecordTable table = new RecordTable();

	@Test
	public void anOlderVersionThatArrivesLateIsIgnored() {
		RecordTable records = new RecordTable();
		records.apply(List.of(pool(9, "acaciamux/v1", 2.0)), 0);
		records.apply(List.of(pool(5, "acaciamux/v1", 3.0)), 0);
		assertEquals(records.pool("plans").orElseThrow().loadBound(), 2.0);
	}

	@Test
	public void anUnknownSchemaVersionKeepsTheVersionInForceAndIsReported() {
		RecordTable records = new RecordTable();
		records.apply(List.of(pool(5, "acaciamux/v1", 3.0)), 0);
		records.completeThrough(5);
		records.apply(List.of(pool(9, "acaciamux/v7", 2.0)), 0);
		records.completeThrough(9);
		assertEquals(records.pool("plans").orElseThrow().loadBound(), 3.0);
		assertEquals(records.inForceRevision(), 8);
		assertTrue(records.unreadable().get(0).problems().get(0).toString().contains("upgrade the processes first"));
	}

	@Test
	public void aRecordMissingFromAListingIsDeletedAndNeverReturns() {
		this.table.apply(List.of(pool(5, "acaciamux/v1", 3.0)), 0);
		this.table.applyListing((kind) -> true, List.of(), Set.of(), 7, 0);
		this.table.completeThrough(7);
		this.table.expireTombstones(1_000, 1_000);
		this.table.apply(List.of(pool(5, "acaciamux/v1", 3.0)), 1_000);
		assertTrue(this.table.pool("plans").isEmpty());
	}

	@Test
	public void anyOrderOfArrivalLeadsToTheSameTable() {
		List<HeldRecord> versions = new ArrayList<>();
		for (int version = 1; version <= 12; version++) {
			RecordKey key = new RecordKey(RecordKinds.CLAIM_PARTITION, "p." + version % 4);
			versions.add((version % 5 == 0) ? HeldRecord.tombstone(key, version)
					: new HeldRecord(key, version, false, JsonNodeFactory.instance.numberNode(version)));
		}
		RecordTable ordered = new RecordTable();
		ordered.apply(versions, 0);
		for (int seed = 0; seed < 20; seed++) {
			Collections.shuffle(versions, new Random(seed));
			RecordTable shuffled = new RecordTable();
			versions.forEach((version) -> shuffled.apply(List.of(version), 0));
			assertEquals(shuffled.hash(), ordered.hash(), "seed " + seed);
		}
	}

	@Test
	public void everyProblemOfARecordIsReportedAtOnce() {
		ObjectNode spec = JsonNodeFactory.instance.objectNode();
		spec.withObjectProperty("queue").put("limit", -1).put("lenght", 4);
		spec.withObjectProperty("placement").put("loadBound", 1.0);
		spec.put("model", "yes");
		List<String> paths = RecordSchema.check(document("acaciamux/v2", spec))
			.stream()
			.map(RecordProblem::path)
			.sorted()
			.toList();
		assertEquals(paths, List.of("spec.model", "spec.placement.loadBound", "spec.queue.lenght", "spec.queue.limit"));
	}

	@Test
	public void bothSchemaVersionsGiveTheSameSettings() {
		JsonNode old = pool(1, "acaciamux/v1", 2.5).value();
		JsonNode converted = RecordSchema.convert(old, "acaciamux/v2").get();
		RecordKey key = new RecordKey(RecordKinds.BACKEND_POOL, "plans");
		assertEquals(RecordSchema.read(key, converted).get(), RecordSchema.read(key, old).get());
	}

	@Test
	public void conversionToAnotherVersionAndBackKeepsUnknownFields() {
		Random random = new Random(17);
		List<String> names = List.of("model", "loadBound", "queue", "queueLimit", "limit", "engine", "adapters",
				"future");
		for (int round = 0; round < 400; round++) {
			ObjectNode spec = JsonNodeFactory.instance.objectNode();
			for (int field = random.nextInt(6); field > 0; field--) {
				String name = names.get(random.nextInt(names.size()));
				if (random.nextBoolean()) {
					spec.put(name, random.nextInt(9));
				}
				else {
					ObjectNode group = spec.putObject(name);
					group.put(names.get(random.nextInt(names.size())), random.nextInt(9));
				}
			}
			String from = random.nextBoolean() ? "acaciamux/v1" : "acaciamux/v2";
			String to = from.endsWith("1") ? "acaciamux/v2" : "acaciamux/v1";
			JsonNode converted = RecordSchema.convert(document(from, spec), to).get();
			assertEquals(RecordSchema.convert(converted, from).get(), document(from, spec), "round " + round);
		}
	}

	private static HeldRecord pool(long version, String apiVersion, double loadBound) {
		ObjectNode spec = JsonNodeFactory.instance.objectNode().put("loadBound", loadBound).put("added", "later");
		return HeldRecord.of(RecordKinds.BACKEND_POOL, "plans", version, document(apiVersion, spec));
	}

	private static ObjectNode document(String apiVersion, ObjectNode spec) {
		ObjectNode document = JsonNodeFactory.instance.objectNode();
		document.put("apiVersion", apiVersion).put("kind", RecordKinds.BACKEND_POOL).put("name", "plans");
		document.set("spec", spec);
		return document;
	}

}
