package org.acaciamux.internal.coordination.order;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.acaciamux.internal.coordination.platform.FakeObjectStore;
import org.acaciamux.internal.coordination.platform.GuardedStore;
import org.acaciamux.internal.state.LockRank;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a slot that two agents hold at once, because its holder considers it
 * valid too long or others consider it expired too early, and against a slot lost with
 * the answer to its write.
 */
public class LoadSlotsTests {

	private static final OrderSettings SETTINGS = new OrderSettings(1, 2_000, 1_000, 0.25, 50, 400);

	private FakeObjectStore store;

	private GuardedStore guard;

	private long nowNanos;

	private LoadSlots a;

	private LoadSlots b;

	@BeforeMethod
	public void start() {
		this.store = new FakeObjectStore();
		this.guard = new GuardedStore(this.store, LockRank.LEAF);
		this.a = slots("a", 1);
		this.b = slots("b", 2);
	}

	@Test
	public void anOrderIsInvalidOnceHalfOfTheSlotsTimeHasPassed() {
		assertTrue(acquire(this.a));
		advance(999);
		assertTrue(this.a.valid(this.a.fence()));
		advance(1);
		assertFalse(this.a.valid(this.a.fence()));
	}

	@Test
	public void theTimeOfASlotCountsFromBeforeItsWrite() {
		this.store.holdIf(FakeObjectStore.Call::isWrite);
		this.guard.guarded(() -> this.a.acquire("p", true, 4, (held) -> {
		}));
		advance(1_500);
		this.store.held().get(0).answer();
		assertFalse(this.a.valid(this.a.fence()));
	}

	@Test
	public void aSlotExpiresForOthersWhenItIsUnchangedForItsWholeTime() {
		acquire(this.a);
		assertFalse(acquire(this.b));
		advance(1_999);
		assertFalse(acquire(this.b));
		advance(1);
		assertTrue(acquire(this.b));
	}

	@Test
	public void aRenewedSlotDoesNotExpire() {
		acquire(this.a);
		acquire(this.b);
		advance(1_500);
		this.guard.guarded(() -> this.a.renew((held) -> {
		}));
		acquire(this.b);
		advance(1_500);
		assertFalse(acquire(this.b));
	}

	@Test
	public void aLaterSlotHasAHigherFencingNumber() {
		acquire(this.a);
		long first = this.a.fence();
		this.guard.guarded(() -> this.a.release((released) -> {
		}));
		acquire(this.a);
		assertTrue(this.a.fence() > first);
	}

	@Test
	public void aLostAnswerDoesNotLoseTheSlot() {
		this.store.loseAnswers(2);
		this.store.holdIf((call) -> !call.isWrite());
		AtomicBoolean result = new AtomicBoolean();
		this.guard.guarded(() -> this.a.acquire("p", true, 4, result::set));
		while (!this.store.held().isEmpty()) {
			this.store.held().get(0).answer();
		}
		assertTrue(result.get() && this.a.valid(this.a.fence()));
	}

	private boolean acquire(LoadSlots slots) {
		AtomicBoolean result = new AtomicBoolean();
		this.guard.guarded(() -> slots.acquire("p", true, 4, result::set));
		return result.get();
	}

	private void advance(long millis) {
		this.nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
	}

	private LoadSlots slots(String vm, long incarnation) {
		return new LoadSlots(this.guard, () -> this.nowNanos, "r", vm, incarnation, SETTINGS);
	}

}
