package org.acaciamux.internal.transport.http;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Names of the headers of one message that apply only to its connection or its framing
 * and are not forwarded. Immutable and thread-safe.
 */
public final class HopHeaders {

	private static final Set<String> HOP_BY_HOP = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade");

	private static final Set<String> REQUEST_ONLY = Set.of("host", "content-length", "expect");

	private final Set<String> names;

	private HopHeaders(Set<String> names) {
		this.names = names;
	}

	public static HopHeaders ofRequest(List<String> connectionValues) {
		HopHeaders result = ofResponse(connectionValues);
		result.names.addAll(REQUEST_ONLY);
		return result;
	}

	public static HopHeaders ofResponse(List<String> connectionValues) {
		Set<String> names = new HashSet<>(HOP_BY_HOP);
		for (String value : connectionValues) {
			for (String token : value.split(",")) {
				names.add(token.trim().toLowerCase(Locale.ROOT));
			}
		}
		return new HopHeaders(names);
	}

	public boolean contains(String name) {
		return this.names.contains(name.toLowerCase(Locale.ROOT));
	}

}
