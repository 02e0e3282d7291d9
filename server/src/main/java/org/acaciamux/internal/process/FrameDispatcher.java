package org.acaciamux.internal.process;

import java.util.EnumMap;
import java.util.Map;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

import org.acaciamux.internal.protocol.FrameHandler;
import org.acaciamux.internal.protocol.PeerLink;
import org.acaciamux.internal.protocol.wire.Frame;
import org.acaciamux.internal.protocol.wire.Frame.BodyCase;

/**
 * Dispatches each frame to the handler for its kind. Frames without a handler, for
 * instance of a kind that only newer peers know, are counted and dropped. Handlers are
 * added before the first frame arrives; after that the dispatcher is thread-safe.
 */
final class FrameDispatcher implements FrameHandler {

	private final Map<BodyCase, FrameHandler> handlers = new EnumMap<>(BodyCase.class);

	private final Counter unhandled;

	FrameDispatcher(MetricRegistry registry) {
		this.unhandled = registry.counter("acaciamux.peer.unhandled-frames");
	}

	void add(FrameHandler handler, BodyCase... kinds) {
		for (BodyCase kind : kinds) {
			this.handlers.put(kind, handler);
		}
	}

	@Override
	public void handle(PeerLink link, Frame frame) {
		FrameHandler handler = this.handlers.get(frame.getBodyCase());
		if (handler == null) {
			this.unhandled.inc();
			return;
		}
		handler.handle(link, frame);
	}

}
