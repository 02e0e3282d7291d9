package org.acaciamux.internal.protocol;

import org.testng.annotations.Test;

import org.acaciamux.FailureCode;
import org.acaciamux.internal.protocol.wire.HelloReply;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a version other than the highest common one, a refusal that does not
 * name both version ranges, and taking a VM for another one that had its address.
 */
public class HandshakeTests {

	@Test
	public void theHighestCommonVersionIsChosen() {
		HelloReply reply = handshake("agent-1", 1, 3).answer(handshake("router-1", 2, 5).hello());
		assertEquals(reply.getVersion(), 3);
	}

	@Test
	public void anOlderPeerWithoutACommonVersionIsRefusedWithBothRanges() {
		HelloReply reply = handshake("agent-1", 3, 4).answer(handshake("router-1", 1, 2).hello());
		assertEquals(reply.getVersion(), 0);
		assertTrue(reply.getReason().contains("3 to 4") && reply.getReason().contains("1 to 2"), reply.getReason());
	}

	@Test
	public void aVmAtTheAddressOfAnotherVmIsNotMistakenForIt() {
		HelloReply reply = handshake("agent-2", 1, 1).answer(handshake("router-1", 1, 1).hello());
		FailureCode code = handshake("router-1", 1, 1).accept(reply, "agent-1", "agent").getLeft().code();
		assertEquals(code, FailureCode.AGENT_UNREACHABLE);
	}

	private static Handshake handshake(String id, int min, int max) {
		return new Handshake(id, "router", 7, new ProtocolVersions(min, max));
	}

}
