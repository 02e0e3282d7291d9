package org.acaciamux.internal.transport.peer;

import com.codahale.metrics.MetricRegistry;
import org.agrona.concurrent.NanoClock;

import org.acaciamux.internal.protocol.FrameHandler;
import org.acaciamux.internal.protocol.Handshake;
import org.acaciamux.internal.state.WorkerPool;

/**
 * The objects that all links of a process share. Immutable and thread-safe.
 */
final class PeerContext {

	final Handshake handshake;

	final FrameHandler frameHandler;

	final WorkerPool workers;

	final NanoClock clock;

	final PeerMetrics metrics;

	PeerContext(Handshake handshake, FrameHandler frameHandler, WorkerPool workers, NanoClock clock,
			MetricRegistry registry) {
		this.handshake = handshake;
		this.frameHandler = frameHandler;
		this.workers = workers;
		this.clock = clock;
		this.metrics = new PeerMetrics(registry);
	}

}
