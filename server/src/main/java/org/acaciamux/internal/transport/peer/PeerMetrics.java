package org.acaciamux.internal.transport.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;

/**
 * Metrics of connections between processes. Thread-safe.
 */
final class PeerMetrics {

	final Counter links;

	final Meter bytesSent;

	final Meter bytesReceived;

	final Counter malformedFrames;

	final Counter silentLinks;

	final Counter refusedHandshakes;

	PeerMetrics(MetricRegistry registry) {
		this.links = registry.counter("acaciamux.peer.links");
		this.bytesSent = registry.meter("acaciamux.peer.bytes-sent");
		this.bytesReceived = registry.meter("acaciamux.peer.bytes-received");
		this.malformedFrames = registry.counter("acaciamux.peer.malformed-frames");
		this.silentLinks = registry.counter("acaciamux.peer.silent-links");
		this.refusedHandshakes = registry.counter("acaciamux.peer.refused-handshakes");
	}

}
