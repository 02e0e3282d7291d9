package org.acaciamux.internal.transport.http.limit;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

import org.acaciamux.settings.ClientLimits;

/**
 * Bounds of what clients may use, which follow from the heap and the descriptors of the
 * process unless the settings name them. Immutable and thread-safe.
 *
 * @param memoryBytes largest memory of all connections, in bytes
 * @param connections largest number of connections at all addresses
 * @param headerFields largest number of fields of a head or of trailers
 * @param bodyBytesPerSecond smallest average rate of a body after the grace time
 */
public record ClientBounds(long memoryBytes, int connections, int headerFields, int bodyBytesPerSecond) {

	/** Heap of one idle connection with its handlers and buffers, with a reserve. */
	private static final long HEAP_BYTES_PER_CONNECTION = 24_576;

	/** Heap of a router without clients, of which clients get no part. */
	private static final long OWN_HEAP_BYTES = 8 * 1_048_576;

	/** Descriptors of the JVM, of its files and of the listeners. */
	private static final int OWN_DESCRIPTORS = 64;

	/** Part of the descriptors that is kept for servers, routers and the store. */
	private static final int RESERVE_DIVISOR = 8;

	/** Part of the connections that callers leave to each address for pages. */
	private static final int PAGE_DIVISOR = 5;

	/** Most connections at an address for pages. */
	private static final int MAX_PAGE_CONNECTIONS = 256;

	/**
	 * Part of the memory up to which requests are served whose client has not read the
	 * responses before. Small responses take some times the heap of their bytes.
	 */
	private static final int UNREAD_DIVISOR = 4;

	private static final int MIN_CONNECTIONS = 16;

	private static final int MAX_DESCRIPTORS = 1_000_000;

	private static final int PERCENT = 100;

	/**
	 * Determine the bounds.
	 * @param settings the settings
	 * @param heapBytes largest heap
	 * @param descriptors largest number of open descriptors
	 * @return the bounds
	 */
	public static ClientBounds of(ClientLimits settings, long heapBytes, int descriptors) {
		int possible = (int) Math.min(heapBytes / HEAP_BYTES_PER_CONNECTION, possible(descriptors));
		int connections = (settings.connections() > 0) ? settings.connections() : Math.max(MIN_CONNECTIONS, possible);
		return new ClientBounds(Math.max(1, heapBytes - OWN_HEAP_BYTES) * settings.memoryPercent() / PERCENT,
				connections, settings.headerFields(), settings.bodyBytesPerSecond());
	}

	private static int possible(int descriptors) {
		return descriptors - descriptors / RESERVE_DIVISOR - OWN_DESCRIPTORS;
	}

	/**
	 * Check that the descriptors suffice.
	 * @param descriptors largest number of open descriptors
	 * @return what is wrong and how to mend it, empty if they suffice
	 */
	public Optional<String> problem(int descriptors) {
		if (this.connections <= possible(descriptors)) {
			return Optional.empty();
		}
		return Optional.of("clientLimits.connections: " + this.connections + " connections do not fit into "
				+ descriptors + " descriptors, of which " + (descriptors - possible(descriptors))
				+ " are reserved; raise the descriptor limit or set at most " + Math.max(0, possible(descriptors)));
	}

	long unreadBytes() {
		return this.memoryBytes / UNREAD_DIVISOR;
	}

	int connections(Place place) {
		int pages = Math.min(MAX_PAGE_CONNECTIONS, Math.max(1, this.connections / PAGE_DIVISOR));
		return (place == Place.LISTEN) ? Math.max(1, this.connections - 2 * pages) : pages;
	}

	/**
	 * Return how many descriptors this process may open.
	 * @return the number, that of a large system if it is not known
	 */
	public static int descriptors() {
		try {
			for (String line : Files.readAllLines(Path.of("/proc/self/limits"))) {
				if (line.startsWith("Max open files")) {
					String soft = line.substring("Max open files".length()).strip().split(" +")[0];
					return soft.equals("unlimited") ? MAX_DESCRIPTORS
							: (int) Math.min(MAX_DESCRIPTORS, Long.parseLong(soft));
				}
			}
		}
		catch (IOException | NumberFormatException ex) {
			// Not Linux, or the file is not readable: the limit is not known.
		}
		return MAX_DESCRIPTORS;
	}

}
