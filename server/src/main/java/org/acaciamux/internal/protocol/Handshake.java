package org.acaciamux.internal.protocol;

import io.vavr.control.Either;

import org.acaciamux.Failure;
import org.acaciamux.FailureCode;
import org.acaciamux.internal.protocol.PeerLink.PeerIdentity;
import org.acaciamux.internal.protocol.wire.Hello;
import org.acaciamux.internal.protocol.wire.HelloReply;

/**
 * The handshake on connections between processes, as seen by this process. Immutable and
 * thread-safe.
 *
 * @param id the id of this process's VM
 * @param role the role of this process
 * @param incarnation the incarnation of this process
 * @param versions the protocol versions that this process supports
 */
public record Handshake(String id, String role, long incarnation, ProtocolVersions versions) {

	/**
	 * Return the first frame of a connection that this process opens.
	 * @return the frame
	 */
	public Hello hello() {
		return Hello.newBuilder()
			.setMinVersion(this.versions.min())
			.setMaxVersion(this.versions.max())
			.setRole(this.role)
			.setId(this.id)
			.setIncarnation(this.incarnation)
			.build();
	}

	/**
	 * Answer the first frame of a connection that another process opened.
	 * @param hello the frame
	 * @return the answer; its version is 0 if the handshake is refused
	 */
	public HelloReply answer(Hello hello) {
		HelloReply.Builder reply = HelloReply.newBuilder().setId(this.id).setIncarnation(this.incarnation);
		if (hello.getId().isEmpty()) {
			return reply.setReason("the hello frame contains no VM id").build();
		}
		ProtocolVersions offered = new ProtocolVersions(hello.getMinVersion(), hello.getMaxVersion());
		return this.versions.choose(offered)
			.map((version) -> reply.setVersion(version).build())
			.orElseGet(() -> reply.setReason(noCommonVersion(offered)).build());
	}

	/**
	 * Check the answer to this process's first frame.
	 * @param reply the answer
	 * @param expectedId the id of the VM that this process connected to
	 * @param expectedRole the role of that VM
	 * @return the peer, or why the connection cannot be used
	 */
	public Either<Failure, PeerIdentity> accept(HelloReply reply, String expectedId, String expectedRole) {
		if (reply.getVersion() == 0) {
			return Either.left(Failure.notRun(FailureCode.VERSION_MISMATCH,
					"VM " + expectedId + " refused the handshake: " + reply.getReason(), 0));
		}
		if (!reply.getId().equals(expectedId)) {
			return Either.left(Failure.notRun(FailureCode.AGENT_UNREACHABLE, "VM " + reply.getId()
					+ " answers at the address of VM " + expectedId + "; the VM list is probably out of date", 1_000));
		}
		return Either.right(new PeerIdentity(expectedId, expectedRole, reply.getIncarnation(), reply.getVersion()));
	}

	private String noCommonVersion(ProtocolVersions offered) {
		return "no common protocol version: this process supports " + this.versions.min() + " to " + this.versions.max()
				+ ", the other process " + offered.min() + " to " + offered.max() + "; upgrade the older of the two";
	}

}
