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
import org.acaciamux.internal.coordination.platform.CertainWrite;
import org.acaciamux.internal.coordination.platform.CertainWrite.Result;
import org.acaciamux.internal.coordination.platform.GuardedStore;
import org.acaciamux.internal.coordination.platform.StoreFailure;
import org.acaciamux.internal.coordination.platform.StoreFailure.Kind;
import org.acaciamux.internal.coordination.platform.StoredObject;
import org.acaciamux.internal.event.EventLog;

/**
 * The load slot of one agent. A slot expires for another agent once that agent has seen
 * it unchanged for the slot's whole time on its own monotonic clock; its holder counts
 * the time from before the write that took or renewed it, so the holder is always the
 * first to see it end. Guarded by the lock of its {@link GuardedStore}.
 */
final class LoadSlots {

	private final GuardedStore store;

	private final NanoClock clock;

	private final String region;

	private final String vm;

	private final long incarnation;

	private final OrderSettings settings;

	private final Map<Holder, Long> firstSeen = new HashMap<>();

	private CertainWrite write;

	private boolean busy;

	private long writeCount;

	private long takenAt;

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
	 * @return the number, higher than that of any slot before
	 */
	long fence() {
		return this.fence;
	}

	/**
	 * Return whether an order may still leave. Needs no lock.
	 * @param orderFence the fencing number of the order
	 * @return whether less than half of the slot's time has passed
	 */
	boolean valid(long orderFence) {
		return this.fence == orderFence && this.clock.nanoTime() - this.validUntil < 0;
	}

	/**
	 * Return whether a renewal makes sense.
	 * @return whether a quarter of the slot's time has passed
	 */
	boolean ages() {
		return this.clock.nanoTime() - this.takenAt > TimeUnit.MILLISECONDS.toNanos(this.settings.slotMs()) / 4;
	}

	void tick() {
		if (this.write != null) {
			this.write.tick();
		}
	}

	/**
	 * Find out whether a process before this one on the same VM left a slot.
	 * @param then receives the answer, empty if it is not known
	 */
	void left(Consumer<Optional<Boolean>> then) {
		read((found) -> then.accept(found.map((slots) -> slots.record.of(this.vm).isPresent())));
	}

	/**
	 * Take a slot, or take over the own one of an earlier process.
	 * @param pool the pool's name
	 * @param serving whether the server could serve otherwise
	 * @param members live members of the pool
	 * @param then receives whether the slot is held
	 */
	void take(String pool, boolean serving, int members, Consumer<Boolean> then) {
		change((record) -> {
			SlotRecord rest = withoutExpired(record);
			long loading = rest.without(this.vm)
				.holders()
				.stream()
				.filter((holder) -> holder.pool().equals(pool) && holder.serving())
				.count();
			long allowed = Math.max(1, (long) (members * this.settings.poolShare()));
			boolean full = rest.without(this.vm).holders().size() >= record.limit();
			return (full || (serving && loading >= allowed)) ? record : rest.with(holder(pool, serving));
		}, then);
	}

	/**
	 * Renew the slot.
	 * @param then receives whether the slot is still held
	 */
	void renew(Consumer<Boolean> then) {
		change((record) -> record.of(this.vm)
			.filter((holder) -> holder.write().startsWith(prefix()))
			.map((holder) -> record.with(holder(holder.pool(), holder.serving())))
			.orElse(record), then);
	}

	/**
	 * Give the slot up.
	 * @param then receives whether it is given up
	 */
	void release(Consumer<Boolean> then) {
		read((found) -> {
			if (found.isEmpty()) {
				then.accept(false);
				return;
			}
			SlotRecord rest = found.get().record.without(this.vm);
			if (rest.equals(found.get().record)) {
				this.held = false;
				then.accept(true);
				return;
			}
			put(found.get().version, rest,
					(json) -> SlotRecord.parse(json).filter((it) -> it.of(this.vm).isEmpty()).isPresent(),
					(written) -> {
						this.held = this.held && written.isEmpty();
						then.accept(written.isPresent());
					});
		});
	}

	private void change(UnaryOperator<SlotRecord> edit, Consumer<Boolean> then) {
		read((found) -> {
			Optional<SlotRecord> next = found.map((slots) -> edit.apply(slots.record));
			if (next.isEmpty() || next.get().equals(found.get().record)) {
				then.accept(false);
				return;
			}
			String id = next.get().of(this.vm).map(Holder::write).orElse("");
			long start = this.clock.nanoTime();
			put(found.get().version, next.get(), (json) -> holds(json, id), (written) -> {
				written.ifPresent((object) -> hold(object.version(), start));
				then.accept(written.isPresent());
			});
		});
	}

	private boolean holds(JsonNode json, String id) {
		return SlotRecord.parse(json).flatMap((it) -> it.of(this.vm)).filter((it) -> it.write().equals(id)).isPresent();
	}

	private void hold(long version, long start) {
		this.held = true;
		this.takenAt = start;
		this.validUntil = start + TimeUnit.MILLISECONDS.toNanos(this.settings.slotMs()) / 2;
		this.fence = version;
	}

	private SlotRecord withoutExpired(SlotRecord record) {
		long now = this.clock.nanoTime();
		SlotRecord rest = record;
		for (Holder holder : record.holders()) {
			long age = now - this.firstSeen.getOrDefault(holder, now);
			if (!holder.vm().equals(this.vm) && age >= TimeUnit.MILLISECONDS.toNanos(this.settings.slotMs())) {
				EventLog.log(OrderEvent.SLOT_EXPIRED, holder.vm());
				rest = rest.without(holder.vm());
			}
		}
		return rest;
	}

	private void read(Consumer<Optional<Slots>> then) {
		this.busy = true;
		this.store.get(SlotRecord.KIND, this.region, (result) -> {
			this.busy = false;
			Optional<Slots> slots = slots(result);
			slots.ifPresent((found) -> observe(found.record.holders()));
			then.accept(slots);
		});
	}

	private Optional<Slots> slots(Either<StoreFailure, StoredObject> result) {
		if (result.isLeft()) {
			boolean absent = result.getLeft().kind() == Kind.NOT_FOUND;
			return absent ? Optional.of(new Slots(0, new SlotRecord(this.settings.slots(), List.of())))
					: Optional.empty();
		}
		Optional<SlotRecord> record = SlotRecord.parse(result.get().value());
		if (record.isEmpty()) {
			EventLog.log(OrderEvent.SLOTS_INVALID, SlotRecord.KIND + "/" + this.region);
		}
		return record.map((found) -> new Slots(result.get().version(), found));
	}

	private void observe(List<Holder> holders) {
		this.firstSeen.keySet().retainAll(holders);
		holders.forEach((holder) -> this.firstSeen.putIfAbsent(holder, this.clock.nanoTime()));
	}

	private void put(long version, SlotRecord next, Predicate<JsonNode> mine, Consumer<Optional<StoredObject>> then) {
		this.busy = true;
		CertainWrite.Target target = new CertainWrite.Target(SlotRecord.KIND, this.region, version);
		this.write = new CertainWrite(this.store, this.clock, target, next.toJson(), mine, (failure) -> {
		}, (result) -> {
			this.busy = false;
			this.write = null;
			then.accept((result instanceof Result.Written written) ? Optional.of(written.object()) : Optional.empty());
		});
		this.write.start();
	}

	private Holder holder(String pool, boolean serving) {
		this.writeCount++;
		return new Holder(this.vm, prefix() + this.writeCount, pool, serving);
	}

	private String prefix() {
		return Long.toHexString(this.incarnation) + ":";
	}

	private record Slots(long version, SlotRecord record) {
	}

}
