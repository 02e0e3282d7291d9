package org.acaciamux.internal.transport.http.limit;

/**
 * Why a connection is closed. Immutable and thread-safe.
 */
public enum Limit {

	/** All connections hold too much memory. */
	MEMORY("memory"),

	/** There are too many connections. */
	CONNECTIONS("connections"),

	/** A head, a body or the reading of a response takes too long. */
	TIME("time");

	private final String label;

	Limit(String label) {
		this.label = label;
	}

	/**
	 * Return the name in metrics and log lines.
	 * @return the name
	 */
	public String label() {
		return this.label;
	}

}
