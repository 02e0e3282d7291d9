package org.acaciamux.settings;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/**
 * Role of a process. Immutable and thread-safe.
 */
public enum Role {

	/** Accepts requests from callers and sends them to agents. */
	ROUTER,

	/** Runs requests on the backend server beside it. */
	AGENT;

	/**
	 * Return the text of this role in settings and messages.
	 * @return {@code router} or {@code agent}
	 */
	public String text() {
		return name().toLowerCase(Locale.ROOT);
	}

	static Optional<Role> of(String text) {
		return Arrays.stream(values()).filter((role) -> role.text().equals(text)).findFirst();
	}

}
