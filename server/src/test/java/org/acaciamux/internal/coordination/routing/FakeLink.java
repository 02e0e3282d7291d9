package org.acaciamux.internal.coordination.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.acaciamux.internal.protocol.PeerLink;
import org.acaciamux.internal.protocol.wire.Frame;

/**
 * A link that records what is sent over it and can be closed by the test.
 */
final class FakeLink implements PeerLink {

	private final List<Frame> sent = new ArrayList<>();

	private final List<Consumer<String>> closeActions = new ArrayList<>();

	private final PeerIdentity peer;

	private final BiConsumer<FakeLink, Frame> onSend;

	private boolean open = true;

	FakeLink(String agent, long incarnation, BiConsumer<FakeLink, Frame> onSend) {
		this.peer = new PeerIdentity(agent, "agent", incarnation, 1);
		this.onSend = onSend;
	}

	@Override
	public PeerIdentity peer() {
		return this.peer;
	}

	@Override
	public void send(Frame frame) {
		if (this.open) {
			this.sent.add(frame);
			this.onSend.accept(this, frame);
		}
	}

	@Override
	public boolean isWritable() {
		return this.open;
	}

	@Override
	public boolean isOpen() {
		return this.open;
	}

	@Override
	public void onClose(Consumer<String> action) {
		if (this.open) {
			this.closeActions.add(action);
			return;
		}
		action.accept("closed before");
	}

	@Override
	public void close(String reason) {
		if (this.open) {
			this.open = false;
			List.copyOf(this.closeActions).forEach((action) -> action.accept(reason));
		}
	}

	List<Frame> sent(Frame.BodyCase kind) {
		return this.sent.stream().filter((frame) -> frame.getBodyCase() == kind).toList();
	}

}
