package org.acaciamux.internal.state;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;

import org.acaciamux.internal.BrokenInvariant;

/**
 * A reentrant lock that enforces the order of {@link LockRank}. Invariant: a thread
 * acquires locks in strictly ascending rank, except for locks that it already holds. A
 * violation stops the process, because it is a potential deadlock. Thread-safe.
 */
public final class RankedLock {

	private static final ThreadLocal<Deque<RankedLock>> held = ThreadLocal.withInitial(ArrayDeque::new);

	private final ReentrantLock lock = new ReentrantLock();

	private final LockRank rank;

	public RankedLock(LockRank rank) {
		this.rank = rank;
	}

	/**
	 * Run an action under this lock.
	 * @param action the action
	 */
	public void run(Runnable action) {
		get(() -> {
			action.run();
			return null;
		});
	}

	/**
	 * Compute a value under this lock.
	 * @param <T> the type of the value
	 * @param supplier computes the value
	 * @return the value
	 * @throws BrokenInvariant if the thread holds a lock of the same or a higher rank
	 */
	public <T> T get(Supplier<T> supplier) {
		Deque<RankedLock> stack = held.get();
		checkOrder(stack);
		this.lock.lock();
		stack.push(this);
		try {
			return supplier.get();
		}
		finally {
			stack.pop();
			this.lock.unlock();
		}
	}

	private void checkOrder(Deque<RankedLock> stack) {
		if (this.lock.isHeldByCurrentThread()) {
			return;
		}
		RankedLock top = stack.peek();
		if (top != null && top.rank.compareTo(this.rank) >= 0) {
			throw new BrokenInvariant("Lock " + this.rank + " was requested while " + top.rank
					+ " is held; acquire locks in ascending rank");
		}
	}

}
