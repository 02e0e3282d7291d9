package org.acaciamux.process;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.Optional;

import org.acaciamux.internal.protocol.ProtocolVersions;
import org.acaciamux.internal.protocol.wire.Frame;
import org.acaciamux.internal.protocol.wire.Hello;
import org.acaciamux.internal.protocol.wire.Refused;
import org.acaciamux.internal.protocol.wire.RequestId;
import org.acaciamux.internal.protocol.wire.Submit;

/**
 * A router's connection to an agent, over a plain socket. Not thread-safe.
 */
final class PeerConnection implements AutoCloseable {

	private static final int READ_TIMEOUT_MS = 30_000;

	private static final long INCARNATION = 11;

	private final Socket socket;

	private final DataOutputStream out;

	private final DataInputStream in;

	PeerConnection(int port) throws IOException {
		this.socket = new Socket("127.0.0.1", port);
		this.socket.setSoTimeout(READ_TIMEOUT_MS);
		this.out = new DataOutputStream(this.socket.getOutputStream());
		this.in = new DataInputStream(this.socket.getInputStream());
		Hello hello = Hello.newBuilder()
			.setMinVersion(ProtocolVersions.SUPPORTED.min())
			.setMaxVersion(ProtocolVersions.SUPPORTED.max())
			.setRole("router")
			.setId("router-of-the-test")
			.setIncarnation(INCARNATION)
			.build();
		send(Frame.newBuilder().setHello(hello).build());
		next();
	}

	/**
	 * Send a request and read until it is refused.
	 * @param pool the pool
	 * @return the refusal, or empty if the connection ends before
	 */
	Optional<Refused> submitUntilRefused(String pool) {
		try {
			send(submit(pool, false));
		}
		catch (IOException ex) {
			return Optional.empty();
		}
		return awaitRefusal();
	}

	/**
	 * Send a request that the agent may queue.
	 * @param pool the pool
	 */
	void submitAsLastTrial(String pool) throws IOException {
		send(submit(pool, true));
	}

	/**
	 * Read until a request is refused.
	 * @return the refusal, or empty if the connection ends before
	 */
	Optional<Refused> awaitRefusal() {
		try {
			Frame frame = next();
			while (!frame.hasRefused()) {
				frame = next();
			}
			return Optional.of(frame.getRefused());
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

	private static Frame submit(String pool, boolean last) {
		Submit submit = Submit.newBuilder()
			.setId(RequestId.newBuilder().setIncarnation(INCARNATION).setSequence(1))
			.setPool(pool)
			.setOrganisation("harbour-kiosks")
			.setPriority("normal")
			.setDeadlineMs(READ_TIMEOUT_MS)
			.setMethod("GET")
			.setPath("/control/state")
			.setInitialCredit(1 << 20)
			.setFinalTrial(last)
			.build();
		return Frame.newBuilder().setSubmit(submit).build();
	}

	private void send(Frame frame) throws IOException {
		byte[] bytes = frame.toByteArray();
		this.out.writeInt(bytes.length);
		this.out.write(bytes);
		this.out.flush();
	}

	private Frame next() throws IOException {
		byte[] bytes = new byte[this.in.readInt()];
		this.in.readFully(bytes);
		return Frame.parseFrom(bytes);
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
