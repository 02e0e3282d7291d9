package org.acaciamux.internal.coordination.order;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.agrona.concurrent.NanoClock;

import org.acaciamux.internal.coordination.order.SlotRecord.Holder;
import org.acaciamux.internal.coordination.platform.GuardedStore;
import org.acaciamux.internal.coordination.platform.RetryingWrite;
import org.acaciamux.internal.coordination.platform.RetryingWrite.Result;
import org.acaciamux.internal.coordination.platform.StoreFailure;
import org.acaciamux.internal.coordination.platform.StoreFailure.Kind;
import org.acaciamux.internal.coordination.platform.StoredObject;
import org.acaciamux.internal.event.EventLog;

/**
 * The load slot of one agent: a lease that an agent needs for a load. Another agent
 * treats a slot as expired once it has seen the slot unchanged for the slot's full
 * duration on its own monotonic clock. The holder measures the duration from before the
 * write that took or renewed the slot, so the slot always ends for the holder first.
 * Guarded by the lock of its {@link GuardedStore}.
 */
final class LoadSlots {

	private final GuardedStore store;

	private final NanoClock clock;

	private final String region;

	private final String vm;

	private final long incarnation;

	private final OrderSettings settings;

	private final Map<Holder, Long> firstSeen = new HashMap<>();

	private RetryingWrite write;

	private boolean busy;

	private long writeCount;

	private long acquiredAt;

	private volatile long fence;

	private volatile long validUntil;

	private boolean held;

	LoadSlots(GuardedStore store, NanoClock clock, String region, String vm, long incarnation, OrderSettings settings) {
		this.store = store;
		this.clock = clock;
		this.region = region;
		this.vm = vm;
		this.incarnation = incarnation;
		this.settings = settings;
	}

	boolean busy() {
		return this.busy;
	}

	boolean held() {
		return this.held;
	}

	/**
	 * Return the fencing number of the slot: the version of the write that took or last
	 * renewed it.
	 * @return the number, higher than that of any earlier slot
	 */
	long fence() {
		return this.fence;
	}

	/**
	 * Return whether an order may still be sent. Needs no lock.
	 * @param orderFence the fencing number of the order
	 * @return whether the slot has this fencing number and less than half of its duration
	 * has passed
	 */
	boolean valid(long orderFence) {
		return this.fence == orderFence && this.clock.nanoTime() - this.validUntil < 0;
	}

	/**
	 * Return whether the slot should be renewed.
	 * @return whether a quarter of the slot's duration has passed
	 */
	boolean renewalDue() {
		return this.clock.nanoTime() - this.acquiredAt > TimeUnit.MILLISECONDS.toNanos(this.settings.slotMs()) / 4;
	}

	void tick() {
		if (this.write != null) {
			this.write.tick();
		}
	}

	/**
	 * Check whether an earlier process on the same VM left a slot behind.
	 * @param callback receives whether there is one, empty if the read failed
	 */
	void findEarlierSlot(Consumer<Optional<Boolean>> callback) {
		read((stored) -> callback.accept(stored.map((slots) -> slots.record.findHolder(this.vm).isPresent())));
	}

	/**
	 * Take a slot, or take over the slot of an earlier process on this VM.
	 * @param pool the pool's name
	 * @param serving whether the server could serve if it did not load
	 * @param members number of live members of the pool
	 * @param callback receives whether the slot is held
	 */
	void acquire(String pool, boolean serving, int members, Consumer<Boolean> callback) {
		update((record) -> {
			SlotRecord remaining = withoutExpired(record);
			long loading = remaining.without(this.vm)
				.holders()
				.stream()
				.filter((holder) -> holder.pool().equals(pool) && holder.serving())
				.count();
			long allowed = Math.max(1, (long) (members * this.settings.poolShare()));
			boolean noFreeSlot = remaining.without(this.vm).holders().size() >= record.limit();
			return (noFreeSlot || (serving && loading >= allowed)) ? record : remaining.with(newHolder(pool, serving));
		}, callback);
	}

	/**
	 * Renew the slot.
	 * @param callback receives whether the slot is still held
	 */
	void renew(Consumer<Boolean> callback) {
		update((record) -> record.findHolder(this.vm)
			.filter((holder) -> holder.write().startsWith(writeIdPrefix()))
			.map((holder) -> record.with(newHolder(holder.pool(), holder.serving())))
			.orElse(record), callback);
	}

	/**
	 * Release the slot.
	 * @param callback receives whether it is released
	 */
	void release(Consumer<Boolean> callback) {
		read((stored) -> {
			if (stored.isEmpty()) {
				callback.accept(false);
				return;
			}
			SlotRecord remaining = stored.get().record.without(this.vm);
			if (remaining.equals(stored.get().record)) {
				this.held = false;
				callback.accept(true);
				return;
			}
			put(stored.get().version, remaining,
					(json) -> SlotRecord.parse(json)
						.filter((record) -> record.findHolder(this.vm).isEmpty())
						.isPresent(),
					(written) -> {
						this.held = this.held && written.isEmpty();
						callback.accept(written.isPresent());
					});
		});
	}

	private void update(UnaryOperator<SlotRecord> edit, Consumer<Boolean> callback) {
		read((stored) -> {
			Optional<SlotRecord> next = stored.map((slots) -> edit.apply(slots.record));
			if (next.isEmpty() || next.get().equals(stored.get().record)) {
				callback.accept(false);
				return;
			}
			String id = next.get().findHolder(this.vm).map(Holder::write).orElse("");
			long start = this.clock.nanoTime();
			put(stored.get().version, next.get(), (json) -> containsWrite(json, id), (written) -> {
				written.ifPresent((object) -> onAcquired(object.version(), start));
				callback.accept(written.isPresent());
			});
		});
	}

	private boolean containsWrite(JsonNode json, String id) {
		return SlotRecord.parse(json)
			.flatMap((record) -> record.findHolder(this.vm))
			.filter((holder) -> holder.write().equals(id))
			.isPresent();
	}

	private void onAcquired(long version, long start) {
		this.held = true;
		this.acquiredAt = start;
		this.validUntil = start + TimeUnit.MILLISECONDS.toNanos(this.settings.slotMs()) / 2;
		this.fence = version;
	}

	private SlotRecord withoutExpired(SlotRecord record) {
		long now = this.clock.nanoTime();
		SlotRecord remaining = record;
		for (Holder holder : record.holders()) {
			long age = now - this.firstSeen.getOrDefault(holder, now);
			if (!holder.vm().equals(this.vm) && age >= TimeUnit.MILLISECONDS.toNanos(this.settings.slotMs())) {
				EventLog.log(OrderEvent.SLOT_EXPIRED, holder.vm());
				remaining = remaining.without(holder.vm());
			}
		}
		return remaining;
	}

	private void read(Consumer<Optional<StoredSlots>> callback) {
		this.busy = true;
		this.store.get(SlotRecord.KIND, this.region, (result) -> {
			this.busy = false;
			Optional<StoredSlots> slots = parse(result);
			slots.ifPresent((stored) -> recordFirstSeen(stored.record.holders()));
			callback.accept(slots);
		});
	}

	private Optional<StoredSlots> parse(Either<StoreFailure, StoredObject> result) {
		if (result.isLeft()) {
			boolean absent = result.getLeft().kind() == Kind.NOT_FOUND;
			return absent ? Optional.of(new StoredSlots(0, new SlotRecord(this.settings.slots(), List.of())))
					: Optional.empty();
		}
		Optional<SlotRecord> record = SlotRecord.parse(result.get().value());
		if (record.isEmpty()) {
			EventLog.log(OrderEvent.SLOTS_INVALID, SlotRecord.KIND + "/" + this.region);
		}
		return record.map((parsed) -> new StoredSlots(result.get().version(), parsed));
	}

	private void recordFirstSeen(List<Holder> holders) {
		this.firstSeen.keySet().retainAll(holders);
		holders.forEach((holder) -> this.firstSeen.putIfAbsent(holder, this.clock.nanoTime()));
	}

	private void put(long version, SlotRecord next, Predicate<JsonNode> containsWrite,
			Consumer<Optional<StoredObject>> callback) {
		this.busy = true;
		RetryingWrite.Target target = new RetryingWrite.Target(SlotRecord.KIND, this.region, version);
		this.write = new RetryingWrite(this.store, this.clock, target, next.toJson(), containsWrite, (failure) -> {
		}, (result) -> {
			this.busy = false;
			this.write = null;
			callback
				.accept((result instanceof Result.Written written) ? Optional.of(written.object()) : Optional.empty());
		});
		this.write.start();
	}

	private Holder newHolder(String pool, boolean serving) {
		this.writeCount++;
		return new Holder(this.vm, writeIdPrefix() + this.writeCount, pool, serving);
	}

	private String writeIdPrefix() {
		return Long.toHexString(this.incarnation) + ":";
	}

	private record StoredSlots(long version, SlotRecord record) {
	}

}
