package org.acaciamux.settings;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An IP address with a TCP port. Immutable and thread-safe.
 *
 * @param address the IP address, version 4 or 6, without brackets
 * @param port 0 to 65,535; 0 lets the operating system choose when binding
 */
public record Endpoint(String address, int port) {

	private static final Pattern TEXT = Pattern.compile("(?:\\[([0-9a-fA-F:.]+)]|([0-9.]+)):([0-9]{1,5})");

	private static final Pattern IP_ADDRESS = Pattern
		.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}|[0-9a-fA-F.]*:[0-9a-fA-F:.]*");

	private static final int MAX_PORT = 65_535;

	/**
	 * Parse an endpoint.
	 * @param text for instance {@code 127.0.0.1:7000} or {@code [::1]:7000}
	 * @return the endpoint, or empty if the text has another form
	 */
	public static Optional<Endpoint> parse(String text) {
		Matcher matcher = TEXT.matcher(text);
		if (!matcher.matches()) {
			return Optional.empty();
		}
		String address = (matcher.group(1) != null) ? matcher.group(1) : matcher.group(2);
		int port = Integer.parseInt(matcher.group(3));
		if (port > MAX_PORT || !isIpAddress(address)) {
			return Optional.empty();
		}
		return Optional.of(new Endpoint(address, port));
	}

	static boolean isIpAddress(String text) {
		return IP_ADDRESS.matcher(text).matches();
	}

	/**
	 * Return this endpoint for use with sockets.
	 * @return the socket address; no name is resolved
	 */
	public InetSocketAddress toSocketAddress() {
		return new InetSocketAddress(this.address, this.port);
	}

	@Override
	public String toString() {
		String host = this.address.contains(":") ? "[" + this.address + "]" : this.address;
		return host + ":" + this.port;
	}

}
