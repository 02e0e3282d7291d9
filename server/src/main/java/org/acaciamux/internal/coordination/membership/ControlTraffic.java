package org.acaciamux.internal.coordination.membership;

import java.util.Locale;

import com.codahale.metrics.MetricRegistry;

import org.acaciamux.internal.protocol.PeerLink;
import org.acaciamux.internal.protocol.wire.Frame;

/**
 * Sends control frames and counts their bytes by message kind in the meters named
 * {@code <prefix>.<kind>}. Thread-safe.
 */
public final class ControlTraffic {

	private final MetricRegistry metrics;

	private final String prefix;

	/**
	 * Create a sender.
	 * @param metrics the registry for the meters
	 * @param prefix the prefix of the meters' names
	 */
	public ControlTraffic(MetricRegistry metrics, String prefix) {
		this.metrics = metrics;
		this.prefix = prefix;
	}

	/**
	 * Send a frame.
	 * @param link the link
	 * @param frame the frame
	 */
	public void send(PeerLink link, Frame frame) {
		String kind = frame.getBodyCase().name().toLowerCase(Locale.ROOT);
		this.metrics.meter(this.prefix + "." + kind).mark(frame.getSerializedSize());
		link.send(frame);
	}

}
