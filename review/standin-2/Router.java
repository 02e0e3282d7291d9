import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A router of the project as a process, with the command of the deploy file and settings
 * as the template renders them.
 */
final class Router implements AutoCloseable {

	private static final int DESCRIPTORS = 4_200;

	private final String id;

	private final Path folder;

	private final Path settings;

	private final int port = Ports.free();

	private final int readiness = Ports.free();

	private Process process;

	private volatile boolean inRotation;

	/**
	 * @param id its name
	 * @param zone its zone
	 * @param store the port of the store
	 * @param folder a folder for its settings and its log
	 */
	Router(String id, String zone, int store, Path folder) throws IOException {
		this.id = id;
		this.folder = folder;
		this.settings = folder.resolve(id + ".json");
		Files.writeString(this.settings,
				Json.write(Map.ofEntries(Map.entry("id", id), Map.entry("failureDomain", zone),
						Map.entry("listen", "127.0.0.1:" + this.port),
						Map.entry("readiness", "127.0.0.1:" + this.readiness),
						Map.entry("peer", "127.0.0.1:" + Ports.free()), Map.entry("store", "127.0.0.1:" + store),
						Map.entry("drainTimeoutMs", 8_000),
						Map.entry("terms",
								List.of("base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
										"tenants", "platform")),
						Map.entry("clientLimits", Map.of("descriptors", DESCRIPTORS)), Map.entry("retryRatio", 0.2),
						Map.entry("retryAllowance", 54))));
		start();
		Thread thread = new Thread(this::checkReadiness, "readiness");
		thread.setDaemon(true);
		thread.start();
	}

	// Like the platform: once a second, out after two misses, back with the first 200.
	private void checkReadiness() {
		int misses = 0;
		try {
			while (true) {
				boolean ready = ready();
				misses = ready ? 0 : misses + 1;
				this.inRotation = ready || this.inRotation && misses < 2;
				Thread.sleep(1_000);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/** Returns whether the platform gives new channels to the router. */
	boolean inRotation() {
		return this.inRotation;
	}

	/** Starts the process, which must not run. */
	void start() throws IOException {
		String command = Files.readAllLines(Path.of("deploy", "system.toml"))
			.stream()
			.filter((line) -> line.startsWith("run = "))
			.findFirst()
			.orElseThrow();
		ProcessBuilder builder = new ProcessBuilder(
				command.substring(command.indexOf('"') + 1, command.lastIndexOf('"')).split(" "));
		builder.environment().put("ACACIAMUX_BOOT", this.settings.toString());
		this.process = builder.redirectErrorStream(true)
			.redirectOutput(
					ProcessBuilder.Redirect.appendTo(new File(this.folder.resolve(this.id + ".log").toString())))
			.start();
		// Ends the router also if the case itself is ended.
		Runtime.getRuntime().addShutdownHook(new Thread(this.process::destroyForcibly));
	}

	String id() {
		return this.id;
	}

	int port() {
		return this.port;
	}

	long pid() {
		return this.process.pid();
	}

	boolean alive() {
		return this.process.isAlive();
	}

	int exitCode() {
		return this.process.exitValue();
	}

	/** Ends the process with SIGKILL. */
	void kill() throws InterruptedException {
		this.process.destroyForcibly().waitFor();
	}

	void signal(String name) throws IOException, InterruptedException {
		new ProcessBuilder("kill", "-" + name, String.valueOf(pid())).start().waitFor();
	}

	boolean ready() {
		try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), this.readiness)) {
			socket.setSoTimeout(1_000);
			socket.getOutputStream().write("GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n".getBytes());
			InputStream in = socket.getInputStream();
			Http.Message answer = Http.read(in);
			return answer != null && answer.status() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	/** Waits until the router is ready. */
	boolean awaitReady(long ms) throws InterruptedException {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
		while (System.nanoTime() - end < 0) {
			if (ready()) {
				return true;
			}
			Thread.sleep(50);
		}
		return false;
	}

	@Override
	public void close() {
		this.process.destroyForcibly();
	}

}
