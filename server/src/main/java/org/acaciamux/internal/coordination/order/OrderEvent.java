package org.acaciamux.internal.coordination.order;

import java.util.logging.Level;

import org.acaciamux.internal.event.LogEvent;

/**
 * Log events of orders to backend servers. Immutable and thread-safe.
 */
public enum OrderEvent implements LogEvent {

	/** An order is sent to the backend server. */
	ORDER_SENT(8000, Level.INFO, "order %d to load version %s is sent to the backend server"),
	/** The backend server carried out an order. */
	ORDER_DONE(8001, Level.INFO, "order %d is done"),
	/** The backend server did not carry out an order. */
	ORDER_FAILED(8002, Level.WARNING, "order %d ended with %s; next attempt in %d ms"),
	/** More than half of the slot's time had passed before the order could be sent. */
	ORDER_ABANDONED(8003, Level.WARNING, "order %d was not sent because more than half of its slot's time has passed"),
	/** No answer came; the slot is kept until the server is known not to load. */
	ORDER_UNCERTAIN(8004, Level.WARNING, "order %d has no answer; its slot is kept until the server does not load"),
	/** A slot that its holder did not renew for its full duration was taken. */
	SLOT_EXPIRED(8005, Level.WARNING, "the load slot of %s expired and was taken"),
	/** The slot object can't be read. */
	SLOTS_INVALID(8006, Level.SEVERE, "the object %s can't be read; no orders are given, correct or delete it");

	private final int number;

	private final Level level;

	private final String template;

	OrderEvent(int number, Level level, String template) {
		this.number = number;
		this.level = level;
		this.template = template;
	}

	@Override
	public int number() {
		return this.number;
	}

	@Override
	public Level level() {
		return this.level;
	}

	@Override
	public String template() {
		return this.template;
	}

}
