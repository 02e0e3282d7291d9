package org.acaciamux.internal;

/**
 * Thrown when an internal invariant does not hold. The process stops with exit code 4,
 * because its state can no longer be trusted. Never used for bad input or failed peers.
 */
public final class BrokenInvariant extends RuntimeException {

	private static final long serialVersionUID = 1L;

	public BrokenInvariant(String message) {
		super(message);
	}

}
