package org.acaciamux.internal.transport.admin;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The contents of the admin pages, and the start of a drain. Implementations are
 * thread-safe and do not block.
 */
public interface AdminPages {

	/**
	 * Return why the process is not ready.
	 * @return the reason, or empty if it is ready
	 */
	Optional<String> notReadyReason();

	/**
	 * Return the metrics in the text exposition format.
	 * @return the text
	 */
	String metrics();

	/**
	 * Return the state of the process without bodies and secrets.
	 * @return the state
	 */
	JsonNode dump();

	/**
	 * Return a summary of the process.
	 * @return the summary
	 */
	JsonNode status();

	/**
	 * Start to drain. Has no effect if the process is already draining.
	 */
	void beginDrain();

}
