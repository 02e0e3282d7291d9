package org.acaciamux.internal.coordination.claim;

import java.util.Optional;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.acaciamux.internal.coordination.platform.FakeObjectStore;
import org.acaciamux.internal.coordination.platform.StoredObject;

import static org.testng.Assert.assertEquals;

/**
 * Guards against agents that count as ready while a call with an idempotency key could
 * not run, because its partition has had no owner yet.
 */
public class FirstOwnersTests {

	private static final String POOL = "pay";

	private FakeObjectStore store;

	private FirstOwners owners;

	@BeforeMethod
	public void start() {
		this.store = new FakeObjectStore();
		this.owners = new FirstOwners(FakeRecords.plain(POOL, 2, 60_000, this.store), POOL);
	}

	private void write(int partition, String owner) {
		String name = PartitionRecord.name(POOL, partition);
		long version = this.store.peek(PartitionRecord.KIND, name).map(StoredObject::version).orElse(0L);
		this.store.put(PartitionRecord.KIND, name, version, PartitionRecord.empty(2).withOwner(owner, 1).toJson());
	}

	@Test
	public void partitionWithoutAnOwnerIsMissingUntilItHasHadOne() {
		assertEquals(this.owners.missing(), Optional.of(0));
		write(0, "a1");
		assertEquals(this.owners.missing(), Optional.of(1));
		write(1, "");
		assertEquals(this.owners.missing(), Optional.of(1));
		write(1, "a2");
		assertEquals(this.owners.missing(), Optional.empty());
	}

	/**
	 * An agent must not become unready each time a partition moves.
	 */
	@Test
	public void partitionThatMovesLaterIsNotMissing() {
		write(0, "a1");
		write(1, "a2");
		assertEquals(this.owners.missing(), Optional.empty());
		write(1, "");
		assertEquals(this.owners.missing(), Optional.empty());
	}

}
