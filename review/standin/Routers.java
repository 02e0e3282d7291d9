import java.io.File;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Starts the routers of a small deployment with the command of the deploy file and the
 * settings of its template, on loopback addresses.
 */
final class Routers implements AutoCloseable {

	private static final long READY_MS = 30_000;

	/** One router: its process and its ports. */
	record Router(String name, Process process, int front, int ready, int peer, Path log) {
	}

	final List<Router> all = new ArrayList<>();

	private final Path repository;

	private final Path folder;

	private final Run run;

	Routers(Run run, Path repository) throws IOException {
		this.run = run;
		this.repository = repository;
		this.folder = Files.createTempDirectory("acaciamux-review");
	}

	Router start(String name, String store) throws IOException {
		int front = freePort();
		int ready = freePort();
		int peer = freePort();
		Map<String, String> values = new LinkedHashMap<>();
		values.put("node_name", name);
		values.put("zone", "zone-" + name);
		values.put("listen.front", "127.0.0.1:" + front);
		values.put("listen.ready_addr", "127.0.0.1:" + ready);
		values.put("ip", "127.0.0.1");
		values.put("internal_ports.0", String.valueOf(peer));
		values.put("platform.addr", store);
		values.put("bounds.grace_s", "8");
		values.put("bounds.retry_ratio", "0.2");
		values.put("bounds.retry_slack", "54");
		String settings = Files.readString(this.repository.resolve("deploy/settings.json"));
		for (Map.Entry<String, String> value : values.entrySet()) {
			settings = settings.replace("{{" + value.getKey() + "}}", value.getValue());
		}
		Path file = this.folder.resolve(name + ".json");
		Files.writeString(file, settings);
		Path log = this.folder.resolve(name + ".log");
		ProcessBuilder builder = new ProcessBuilder(command()).directory(this.repository.toFile());
		Map<String, String> environment = builder.environment();
		environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		environment.put("ACACIAMUX_BOOT", file.toString());
		builder.redirectErrorStream(true).redirectOutput(new File(log.toString()));
		Router router = new Router(name, builder.start(), front, ready, peer, log);
		this.all.add(router);
		endWithThisProcess(router.process());
		this.run.log("started router " + name + ", process " + router.process().pid());
		return router;
	}

	/** Ends a process also if the script itself is stopped. */
	static void endWithThisProcess(Process process) {
		Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
	}

	private List<String> command() throws IOException {
		String deploy = Files.readString(this.repository.resolve("deploy/system.toml"));
		Matcher matcher = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
		if (!matcher.find()) {
			throw new IOException("the deploy file has no run command");
		}
		return List.of(matcher.group(1).split(" "));
	}

	private static int freePort() throws IOException {
		InetAddress loopback = InetAddress.getByName("127.0.0.1");
		while (true) {
			try (ServerSocket tcp = new ServerSocket(0, 1, loopback);
					DatagramSocket udp = new DatagramSocket(tcp.getLocalPort(), loopback)) {
				return udp.getLocalPort();
			}
			catch (java.net.BindException ex) {
				continue;
			}
		}
	}

	/** Waits until all routers say that they are ready. */
	void awaitReady() throws IOException {
		long end = System.nanoTime() + READY_MS * 1_000_000;
		for (Router router : this.all) {
			while (!isReady(router)) {
				if (System.nanoTime() > end || !router.process().isAlive()) {
					throw new IOException("router " + router.name() + " is not ready");
				}
				Run.sleep(50);
			}
		}
		this.run.log("all routers are ready");
	}

	boolean isReady(Router router) {
		try (Socket socket = new Socket("127.0.0.1", router.ready())) {
			socket.setSoTimeout(1_000);
			socket.getOutputStream()
				.write("GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			Http.Message answer = Http.read(socket.getInputStream());
			return answer != null && answer.status() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	/** Copies matching log lines of the routers into the record. */
	void recordLogs(String pattern) throws IOException {
		Pattern wanted = Pattern.compile(pattern);
		for (Router router : this.all) {
			for (String line : Files.readAllLines(router.log())) {
				if (wanted.matcher(line).find()) {
					this.run.log("log of " + router.name() + ": " + line);
				}
			}
		}
	}

	@Override
	public void close() throws IOException {
		for (Router router : this.all) {
			router.process().destroyForcibly();
		}
		for (Router router : this.all) {
			router.process().onExit().join();
			Files.deleteIfExists(router.log());
			Files.deleteIfExists(this.folder.resolve(router.name() + ".json"));
		}
		Files.deleteIfExists(this.folder);
	}

}
