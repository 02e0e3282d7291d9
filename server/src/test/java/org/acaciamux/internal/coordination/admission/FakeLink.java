package org.acaciamux.internal.coordination.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.acaciamux.internal.protocol.PeerLink;
import org.acaciamux.internal.protocol.wire.Chunk;
import org.acaciamux.internal.protocol.wire.End;
import org.acaciamux.internal.protocol.wire.Frame;
import org.acaciamux.internal.protocol.wire.Refused;
import org.acaciamux.internal.protocol.wire.RequestId;
import org.acaciamux.internal.protocol.wire.Resolution;

/**
 * A link that records the sent frames. Not thread-safe.
 */
final class FakeLink implements PeerLink {

	final List<Frame> sent = new ArrayList<>();

	private final List<Consumer<String>> onClose = new ArrayList<>();

	Runnable onWritable = () -> {
	};

	boolean open = true;

	boolean writable = true;

	@Override
	public PeerIdentity peer() {
		return new PeerIdentity("router", "router", 1, 1);
	}

	@Override
	public void send(Frame frame) {
		if (this.open) {
			this.sent.add(frame);
		}
	}

	@Override
	public boolean isWritable() {
		return this.writable;
	}

	@Override
	public void onWritable(Runnable action) {
		this.onWritable = action;
	}

	@Override
	public boolean isOpen() {
		return this.open;
	}

	@Override
	public void onClose(Consumer<String> action) {
		this.onClose.add(action);
	}

	@Override
	public void close(String reason) {
		this.open = false;
		this.onClose.forEach((action) -> action.accept(reason));
	}

	String body(RequestId id) {
		StringBuilder body = new StringBuilder();
		for (Frame frame : this.sent) {
			Chunk chunk = frame.getChunk();
			if (frame.hasChunk() && chunk.getId().equals(id)) {
				body.replace((int) chunk.getOffset(), body.length(), chunk.getData().toStringUtf8());
			}
		}
		return body.toString();
	}

	Optional<Refused> refused(RequestId id) {
		return this.sent.stream()
			.filter((frame) -> frame.hasRefused() && frame.getRefused().getId().equals(id))
			.map(Frame::getRefused)
			.findFirst();
	}

	Optional<End> end(RequestId id) {
		return this.sent.stream()
			.filter((frame) -> frame.hasEnd() && frame.getEnd().getId().equals(id))
			.map(Frame::getEnd)
			.findFirst();
	}

	long finalFrames(RequestId id) {
		return this.sent.stream()
			.filter((frame) -> (frame.hasEnd() && frame.getEnd().getId().equals(id))
					|| (frame.hasRefused() && frame.getRefused().getId().equals(id)))
			.count();
	}

	Resolution resolution() {
		return this.sent.get(this.sent.size() - 1).getResolution();
	}

}
