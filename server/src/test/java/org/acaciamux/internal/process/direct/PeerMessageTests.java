package org.acaciamux.internal.process.direct;

import java.util.Map;
import java.util.Set;

import org.testng.annotations.Test;

import org.acaciamux.internal.coordination.direct.CrashObserver;
import org.acaciamux.internal.coordination.direct.CrashSuspects;

import static org.testng.Assert.assertTrue;

/**
 * Guards against messages between routers that are too large for a slow or lossy link, so
 * that crashes and loads do not arrive.
 */
public class PeerMessageTests {

	/** Bytes that control may use in a second. */
	private static final int MAX_BYTES = 8 * 1024;

	private static final int ENTRIES = 256;

	/** Number of messages in the 3 s within which every router must know of a crash. */
	private static final int MESSAGES = 12;

	@Test
	public void fullTableOfSuspectsArrivesInSmallMessages() {
		CrashSuspects sender = new CrashSuspects(() -> 0, CrashObserver.NONE);
		CrashSuspects receiver = new CrashSuspects(() -> 0, CrashObserver.NONE);
		for (int server = 0; server < 3; server++) {
			String lifetime = "i-00112233a" + server + "@177961406273" + server;
			for (long request = 0; request < ENTRIES; request++) {
				sender.brokeOff(Long.MIN_VALUE + request, lifetime);
			}
			sender.lifetimeEnded(lifetime);
		}
		for (int i = 0; i < MESSAGES; i++) {
			byte[] bytes = new PeerMessage("r-1", "10.0.0.1:7340", "a", true, true, 1, i, false,
					new Directory.Freshness(1, 1, 1, 0), Map.of(), sender.report(), Set.of(), Map.of(), Map.of())
				.encode();
			assertTrue(bytes.length <= MAX_BYTES, "bytes " + bytes.length);
			PeerMessage.decode(bytes).orElseThrow().crashes().forEach(receiver::merge);
		}
		for (long request = 0; request < ENTRIES; request++) {
			assertTrue(receiver.shouldRefuse(Long.MIN_VALUE + request), "request " + request);
		}
	}

}
