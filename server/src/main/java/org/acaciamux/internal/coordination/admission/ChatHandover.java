package org.acaciamux.internal.coordination.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Optional;

import com.google.protobuf.ByteString;

import org.acaciamux.internal.event.EventLog;
import org.acaciamux.internal.state.LockRank;
import org.acaciamux.internal.state.RankedLock;

/**
 * Sends the caches of recent chats to other agents when this agent drains. Invariants: at
 * most {@link #RECENT} chats are remembered, and at most {@link #PARALLEL} transfers run
 * at once. Thread-safe.
 */
final class ChatHandover {

	/** Number of most recently used chats that are remembered. */
	static final int RECENT = 256;

	/**
	 * Number of concurrent transfers, limited so that the backend server can finish its
	 * remaining requests meanwhile.
	 */
	static final int PARALLEL = 4;

	/** Largest cache in bytes that is sent; a frame has at most 16 MiB. */
	private static final int MAX_BYTES = 15 * 1024 * 1024;

	private final RankedLock lock = new RankedLock(LockRank.LEAF);

	private final LinkedHashMap<String, Boolean> recent = new LinkedHashMap<>(16, 0.75f, true);

	private final Deque<String> waiting = new ArrayDeque<>();

	private final String pool;

	private final ChatCache cache;

	private final ChatOffers offers;

	private boolean started;

	private int running;

	ChatHandover(String pool, ChatCache cache, ChatOffers offers) {
		this.pool = pool;
		this.cache = cache;
		this.offers = offers;
	}

	/**
	 * Remember the chat of a completed request; once the drain has begun, also queue its
	 * cache for transfer.
	 * @param chat the chat's identity, empty for a request without one
	 */
	void requestCompleted(String chat) {
		if (chat.isEmpty()) {
			return;
		}
		this.lock.run(() -> {
			this.recent.put(chat, true);
			if (this.recent.size() > RECENT) {
				Iterator<String> oldest = this.recent.keySet().iterator();
				oldest.next();
				oldest.remove();
			}
			if (this.started) {
				this.waiting.addLast(chat);
			}
		});
		startTransfers();
	}

	void start() {
		this.lock.run(() -> {
			if (!this.started) {
				this.started = true;
				this.recent.keySet().forEach(this.waiting::addFirst);
			}
		});
		startTransfers();
	}

	private void startTransfers() {
		Optional<String> next = nextTransfer();
		while (next.isPresent()) {
			transfer(next.get());
			next = nextTransfer();
		}
	}

	private Optional<String> nextTransfer() {
		return this.lock.get(() -> {
			if (!this.started || this.running >= PARALLEL || this.waiting.isEmpty()) {
				return Optional.empty();
			}
			this.running++;
			return Optional.of(this.waiting.removeFirst());
		});
	}

	private void transfer(String chat) {
		this.cache.exportChat(chat).thenAccept((exported) -> {
			if (exported.isEmpty() || exported.get().size() > MAX_BYTES) {
				transferEnded(true);
				return;
			}
			send(chat, exported.get());
		});
	}

	private void send(String chat, ByteString exported) {
		this.offers.offer(this.pool, chat, exported).thenAccept(this::transferEnded);
	}

	private void transferEnded(boolean done) {
		this.lock.run(() -> this.running--);
		if (!done) {
			EventLog.log(AgentEvent.HANDOVER_FAILED, "the next candidate could not be reached");
		}
		startTransfers();
	}

	/**
	 * Return how many transfers are left.
	 * @return transfers that wait or run
	 */
	int pending() {
		return this.lock.get(() -> this.running + this.waiting.size());
	}

	/**
	 * Cancel the transfers that have not been started.
	 */
	void cancelWaiting() {
		this.lock.run(this.waiting::clear);
	}

}
