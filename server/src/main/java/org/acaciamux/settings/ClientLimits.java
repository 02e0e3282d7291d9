package org.acaciamux.settings;

/**
 * Bounds of what all clients of a router without agents may use together. Immutable and
 * thread-safe.
 *
 * @param memoryPercent largest memory of all connections, in percent of the heap, 5 to 60
 * @param connections largest number of connections at all addresses, 16 to 1,000,000; 0
 * if it follows from the heap and the descriptors
 * @param headerFields largest number of fields of a head or of trailers, 16 to 100,000
 * @param bodyBytesPerSecond smallest average rate of a body after the idle timeout, 0 to
 * 1,000,000
 * @param descriptors open descriptors that the process may have; 0 asks the operating
 * system, which does not know the limit of every platform
 */
public record ClientLimits(int memoryPercent, int connections, int headerFields, int bodyBytesPerSecond,
		int descriptors) {

	/**
	 * Return the limits that apply if the settings name none. As many fields as fit into
	 * the largest head; a twentieth of what a link of 7 Mbit/s brings.
	 * @return the limits
	 */
	public static ClientLimits defaults() {
		return new ClientLimits(40, 0, 4_096, 16_384, 0);
	}

}
