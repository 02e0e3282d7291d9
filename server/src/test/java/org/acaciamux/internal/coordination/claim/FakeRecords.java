package org.acaciamux.internal.coordination.claim;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;

import org.acaciamux.internal.coordination.platform.FakeObjectStore;
import org.acaciamux.internal.coordination.platform.StoredObject;
import org.acaciamux.internal.state.record.OrganisationSpec;
import org.acaciamux.internal.state.record.PoolSpec;
import org.acaciamux.internal.state.record.PrioritySpec;
import org.acaciamux.internal.state.record.RecordView;

/**
 * Records of one pool, and the current objects of a store. Thread-safe if the store is.
 */
record FakeRecords(PoolSpec spec, FakeObjectStore store) implements RecordView {

	static FakeRecords plain(String pool, int partitions, long retentionMs, FakeObjectStore store) {
		return new FakeRecords(new PoolSpec(pool, false, false, 1.25, 0.0, 2, 64, 512, 30_000, 30_000, partitions,
				retentionMs, false, "", List.of()), store);
	}

	@Override
	public Optional<PoolSpec> pool(String name) {
		return Optional.of(this.spec).filter((pool) -> pool.name().equals(name));
	}

	@Override
	public List<PoolSpec> pools() {
		return List.of(this.spec);
	}

	@Override
	public OrganisationSpec organisation(String name) {
		return OrganisationSpec.defaults(name);
	}

	@Override
	public PrioritySpec priority(String name) {
		return PrioritySpec.defaults(name);
	}

	@Override
	public Optional<JsonNode> value(String kind, String name) {
		return this.store.peek(kind, name).map(StoredObject::value);
	}

	@Override
	public long revision() {
		return 0;
	}

}
