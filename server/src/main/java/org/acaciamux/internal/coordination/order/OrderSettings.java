package org.acaciamux.internal.coordination.order;

/**
 * Settings of orders. A load must end within half of a slot's duration: a load that
 * started in the first half has then ended before others may take the slot.
 *
 * @param slots concurrent loads in a region if the slot object does not exist
 * @param slotMs duration of a slot in milliseconds, at least twice {@code loadMs}
 * @param loadMs longest duration of a load in milliseconds
 * @param poolShare largest share of a pool's live members that may load at once although
 * they could serve, above 0.0 and at most 1.0; one member always may
 * @param pollMs interval between state checks of the backend server in milliseconds
 * @param maxPauseMs longest pause between attempts in milliseconds
 */
public record OrderSettings(int slots, long slotMs, long loadMs, double poolShare, long pollMs, long maxPauseMs) {

	public OrderSettings {
		if (slotMs < 2 * loadMs) {
			throw new IllegalArgumentException("slotMs must be at least twice loadMs, got " + slotMs + " and " + loadMs
					+ "; set for instance 1200000 and 600000");
		}
	}

	/**
	 * Return the default settings.
	 * @return the settings
	 */
	public static OrderSettings defaults() {
		return new OrderSettings(4, 1_200_000, 600_000, 0.25, 5_000, 30_000);
	}

}
