package org.acaciamux.internal.coordination.routing;

import java.util.Arrays;

import org.agrona.collections.Long2LongHashMap;

import org.acaciamux.internal.state.LockRank;
import org.acaciamux.internal.state.RankedLock;

/**
 * Remembers which server ran the last request of each recent chat. The entries are only
 * hints: a lost or wrong entry costs a cache miss. Invariants: at most {@code capacity}
 * entries; the entry that was noted longest ago is evicted first; memory grows with the
 * entries and is not released. Thread-safe.
 */
public final class RecentChats {

	/** Default capacity in entries. */
	public static final int DEFAULT_CAPACITY = 65_536;

	/** Returned when no server is known for a chat. */
	public static final long UNKNOWN = 0;

	private static final int INITIAL_SIZE = 256;

	private static final float LOAD_FACTOR = 0.55f;

	private static final int NONE = -1;

	private final RankedLock lock = new RankedLock(LockRank.AFFINITY_TABLE);

	private final Long2LongHashMap slotByChat = new Long2LongHashMap(INITIAL_SIZE, LOAD_FACTOR, NONE);

	private final int capacity;

	private long[] chats;

	private long[] servers;

	private int[] older;

	private int[] newer;

	private int size;

	private int oldest = NONE;

	private int newest = NONE;

	/**
	 * Create an empty table.
	 * @param capacity the highest number of entries, at least 1
	 */
	public RecentChats(int capacity) {
		this.capacity = capacity;
		int first = Math.min(capacity, INITIAL_SIZE);
		this.chats = new long[first];
		this.servers = new long[first];
		this.older = new int[first];
		this.newer = new int[first];
	}

	/**
	 * Return the server that ran the last request of a chat.
	 * @param chat the chat's hash
	 * @return the hash of the server's id, {@link #UNKNOWN} if there is no entry
	 */
	public long serverOf(long chat) {
		return this.lock.get(() -> {
			int slot = (int) this.slotByChat.get(chat);
			return (slot != NONE) ? this.servers[slot] : UNKNOWN;
		});
	}

	/**
	 * Record which server ran a request of a chat.
	 * @param chat the chat's hash
	 * @param server the hash of the server's id
	 */
	public void note(long chat, long server) {
		this.lock.run(() -> {
			int known = (int) this.slotByChat.get(chat);
			int slot = (known != NONE) ? known : newSlot(chat);
			if (known != NONE) {
				unlink(slot);
			}
			this.servers[slot] = server;
			linkNewest(slot);
		});
	}

	/**
	 * Return the number of entries.
	 * @return entries, at most the capacity
	 */
	public int size() {
		return this.lock.get(() -> this.size);
	}

	private int newSlot(long chat) {
		int slot = (this.size < this.capacity) ? this.size++ : evictOldest();
		if (slot == this.chats.length) {
			grow();
		}
		this.chats[slot] = chat;
		this.slotByChat.put(chat, slot);
		return slot;
	}

	private int evictOldest() {
		int slot = this.oldest;
		unlink(slot);
		this.slotByChat.remove(this.chats[slot]);
		return slot;
	}

	private void grow() {
		int length = (int) Math.min(this.capacity, 2L * this.chats.length);
		this.chats = Arrays.copyOf(this.chats, length);
		this.servers = Arrays.copyOf(this.servers, length);
		this.older = Arrays.copyOf(this.older, length);
		this.newer = Arrays.copyOf(this.newer, length);
	}

	private void unlink(int slot) {
		int before = this.older[slot];
		int after = this.newer[slot];
		if (before != NONE) {
			this.newer[before] = after;
		}
		else {
			this.oldest = after;
		}
		if (after != NONE) {
			this.older[after] = before;
		}
		else {
			this.newest = before;
		}
	}

	private void linkNewest(int slot) {
		this.older[slot] = this.newest;
		this.newer[slot] = NONE;
		if (this.newest != NONE) {
			this.newer[this.newest] = slot;
		}
		else {
			this.oldest = slot;
		}
		this.newest = slot;
	}

}
