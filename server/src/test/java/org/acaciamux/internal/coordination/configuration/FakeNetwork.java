package org.acaciamux.internal.coordination.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

import io.vavr.control.Either;

import org.acaciamux.Failure;
import org.acaciamux.FailureCode;
import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.protocol.FrameHandler;
import org.acaciamux.internal.protocol.PeerLink;
import org.acaciamux.internal.protocol.PeerLinks;
import org.acaciamux.internal.protocol.wire.Frame;

/**
 * In-memory links between processes, which deliver frames in order and with a delay and
 * can be cut. Like the transport, a cut link is silent at first and is closed 3 s later.
 */
public final class FakeNetwork {

	private static final long CLOSE_AFTER_SILENCE_MS = 3_000;

	private final VirtualTime time;

	private final Random random;

	private final Map<String, Endpoint> endpoints = new HashMap<>();

	private final Map<String, Connection> connections = new HashMap<>();

	private final Set<String> cuts = new HashSet<>();

	private long bytes;

	public FakeNetwork(VirtualTime time, Random random) {
		this.time = time;
		this.random = random;
	}

	public PeerLinks join(String id, long incarnation, FrameHandler handler) {
		this.endpoints.put(id, new Endpoint(incarnation, handler));
		return new Links(id);
	}

	public void leave(String id) {
		this.endpoints.remove(id);
		List.copyOf(this.connections.values())
			.stream()
			.filter((connection) -> connection.a.equals(id) || connection.b.equals(id))
			.forEach(Connection::close);
	}

	public void cut(String a, String b) {
		this.cuts.add(pair(a, b));
		Connection connection = this.connections.get(pair(a, b));
		if (connection != null) {
			connection.silent = true;
			this.time.after(CLOSE_AFTER_SILENCE_MS, connection::close);
		}
	}

	public void heal() {
		this.cuts.clear();
	}

	public long bytes() {
		return this.bytes;
	}

	private static String pair(String a, String b) {
		return (a.compareTo(b) < 0) ? a + "|" + b : b + "|" + a;
	}

	private record Endpoint(long incarnation, FrameHandler handler) {
	}

	private final class Links implements PeerLinks {

		private final String self;

		Links(String self) {
			this.self = self;
		}

		@Override
		public CompletionStage<Either<Failure, PeerLink>> link(Member member) {
			CompletableFuture<Either<Failure, PeerLink>> result = new CompletableFuture<>();
			FakeNetwork.this.time.after(1, () -> result.complete(connect(member.id())));
			return result;
		}

		private Either<Failure, PeerLink> connect(String other) {
			FakeNetwork network = FakeNetwork.this;
			String key = pair(this.self, other);
			Connection open = network.connections.get(key);
			if (open == null) {
				boolean possible = network.endpoints.containsKey(other) && network.endpoints.containsKey(this.self)
						&& !network.cuts.contains(key);
				if (!possible) {
					return Either.left(Failure.notRun(FailureCode.AGENT_UNREACHABLE, "refused", 0));
				}
				open = new Connection(this.self, other);
				network.connections.put(key, open);
			}
			return Either.right(open.from(this.self));
		}

		@Override
		public CompletionStage<Either<Failure, PeerLink>> replace(Member member) {
			return link(member);
		}

	}

	private final class Connection {

		private final String a;

		private final String b;

		private final List<Consumer<String>> onClose = new ArrayList<>();

		private final Map<String, Link> links = new HashMap<>();

		private boolean open = true;

		private boolean silent;

		private long lastArrivalMs;

		Connection(String a, String b) {
			this.a = a;
			this.b = b;
			this.links.put(a, new Link(this, a, b));
			this.links.put(b, new Link(this, b, a));
		}

		PeerLink from(String self) {
			return this.links.get(self);
		}

		void close() {
			if (this.open) {
				this.open = false;
				FakeNetwork.this.connections.remove(pair(this.a, this.b), this);
				this.onClose.forEach((action) -> action.accept("closed"));
			}
		}

	}

	private final class Link implements PeerLink {

		private final Connection connection;

		private final String self;

		private final String other;

		private final PeerIdentity peer;

		Link(Connection connection, String self, String other) {
			this.connection = connection;
			this.self = self;
			this.other = other;
			this.peer = new PeerIdentity(other, "agent", FakeNetwork.this.endpoints.get(other).incarnation, 1);
		}

		@Override
		public PeerIdentity peer() {
			return this.peer;
		}

		@Override
		public void send(Frame frame) {
			FakeNetwork.this.bytes += frame.getSerializedSize();
			long arrival = FakeNetwork.this.time.nowMs() + 1 + FakeNetwork.this.random.nextInt(6);
			this.connection.lastArrivalMs = Math.max(arrival, this.connection.lastArrivalMs);
			FakeNetwork.this.time.after(this.connection.lastArrivalMs - FakeNetwork.this.time.nowMs(), () -> {
				Endpoint endpoint = FakeNetwork.this.endpoints.get(this.other);
				if (this.connection.open && !this.connection.silent && endpoint != null) {
					endpoint.handler.handle(this.connection.from(this.other), frame);
				}
			});
		}

		@Override
		public boolean isWritable() {
			return true;
		}

		@Override
		public boolean isOpen() {
			return this.connection.open;
		}

		@Override
		public void onClose(Consumer<String> action) {
			this.connection.onClose.add(action);
		}

		@Override
		public void close(String reason) {
			this.connection.close();
		}

		@Override
		public String toString() {
			return this.self + ">" + this.other;
		}

	}

}
