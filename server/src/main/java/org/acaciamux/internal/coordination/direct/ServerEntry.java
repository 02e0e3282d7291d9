package org.acaciamux.internal.coordination.direct;

import org.acaciamux.settings.Endpoint;

/**
 * Directory entry of one lifetime of a backend server, from its start to its end.
 * Immutable and thread-safe.
 *
 * @param id the server's id
 * @param service the service that it serves
 * @param address where it accepts requests
 * @param domain its failure domain
 * @param slots requests that it processes at once, at least 1
 * @param draining whether it is leaving
 * @param startedMs Unix time of its start in milliseconds, 0 if unknown; a changed value
 * means that its cache is empty
 * @param coldLeftMs how much longer it was cold when the entry was written, in
 * milliseconds; 0 if it is warm or the entry does not say
 */
public record ServerEntry(String id, String service, Endpoint address, String domain, int slots, boolean draining,
		long startedMs, long coldLeftMs) {

	/**
	 * Create the entry of a warm server.
	 * @param id the server's id
	 * @param service the service that it serves
	 * @param address where it accepts requests
	 * @param domain its failure domain
	 * @param slots requests that it processes at once, at least 1
	 * @param draining whether it is leaving
	 * @param startedMs time of its start in Unix milliseconds, 0 if unknown
	 */
	public ServerEntry(String id, String service, Endpoint address, String domain, int slots, boolean draining,
			long startedMs) {
		this(id, service, address, domain, slots, draining, startedMs, 0);
	}

	/**
	 * Return what identifies this lifetime of the server: a server that restarts under
	 * the same id has lost its cache.
	 * @return the identity
	 */
	public String lifetime() {
		return this.id + "@" + this.startedMs;
	}

	/**
	 * Return the id of the server of a lifetime.
	 * @param lifetime what {@link #lifetime()} or {@link ServerState#observedLifetime()}
	 * returned
	 * @return the id
	 */
	static String id(String lifetime) {
		int end = lifetime.lastIndexOf('@');
		return (end < 0) ? lifetime : lifetime.substring(0, end);
	}

}
