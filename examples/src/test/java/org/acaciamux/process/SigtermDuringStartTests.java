package org.acaciamux.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.acaciamux.examples.harness.ManagedProcess;
import org.acaciamux.examples.harness.Polling;
import org.acaciamux.examples.harness.ProcessHarness;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a SIGTERM that cuts the callers of a router whose port is bound already.
 */
public class SigtermDuringStartTests {

	private static final int RUNS = 5;

	private static final long EXIT_SECONDS = 30;

	private static final int READ_TIMEOUT_MS = 30_000;

	private static final int START_ATTEMPTS = 60_000;

	private static final String REQUEST = "GET /pools/writer/x HTTP/1.1\r\nHost: a\r\n\r\n";

	private static final String SETTINGS = """
			role: router
			id: router-1
			region: r
			failureDomain: d
			listen: {address: 127.0.0.1, port: %d}
			peer: {address: 127.0.0.1, port: 0}
			admin: {address: 127.0.0.1, port: 0}
			platform: {objects: "127.0.0.1:1", vms: "127.0.0.1:1"}
			""";

	private ProcessHarness harness;

	private Path settings;

	@BeforeMethod
	void createSettings() throws IOException {
		this.harness = ProcessHarness.small();
		this.settings = Files.createTempFile("acaciamux-start", ".yaml");
	}

	@AfterMethod(alwaysRun = true)
	void stop() throws IOException {
		this.harness.close();
		Files.deleteIfExists(this.settings);
	}

	@Test
	void requestIsAnsweredIfSigtermComesAsSoonAsThePortIsBound() throws IOException {
		for (int run = 0; run < RUNS; run++) {
			int port = freePort();
			Files.writeString(this.settings, SETTINGS.formatted(port));
			ManagedProcess router = this.harness.launch("router-1", "org.acaciamux.DaemonMain",
					List.of("--settings", this.settings.toString()));
			try (Socket caller = connect(router, port)) {
				String response = responseAfterSigterm(router, caller);
				assertTrue(response.startsWith("HTTP/1.1 503 "), "run " + run + ": '" + response + "'");
			}
			assertEquals(router.awaitExit(EXIT_SECONDS), 0, "run " + run);
		}
	}

	private static String responseAfterSigterm(ManagedProcess router, Socket caller) {
		try {
			caller.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
			router.terminate();
			return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
		}
		catch (IOException ex) {
			return ex.toString();
		}
	}

	private static Socket connect(ManagedProcess router, int port) throws IOException {
		for (int attempt = 0; attempt < START_ATTEMPTS && router.isAlive(); attempt++) {
			Socket socket = new Socket();
			socket.setSoTimeout(READ_TIMEOUT_MS);
			try {
				socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
				return socket;
			}
			catch (IOException ex) {
				socket.close();
				Polling.pause(1);
			}
		}
		throw new IOException("the router did not listen; its output: " + router.output());
	}

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return socket.getLocalPort();
		}
	}

}
