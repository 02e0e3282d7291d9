package org.acaciamux.examples.harness;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Starts Java processes with the class path of this process and ends them, at the latest
 * when this JVM shuts down. Signals no other processes. Thread-safe.
 */
public final class ProcessHarness implements AutoCloseable {

	private static final long TERMINATION_GRACE_SECONDS = 3;

	private static final int DESCRIBED_LINES = 25;

	private final List<ManagedProcess> processes = new ArrayList<>();

	private final Thread shutdownHook = new Thread(this::killAll, "process-harness");

	private final List<String> jvmOptions;

	/**
	 * Create a harness.
	 * @param jvmOptions options of each JVM that the harness starts
	 */
	public ProcessHarness(List<String> jvmOptions) {
		this.jvmOptions = List.copyOf(jvmOptions);
		Runtime.getRuntime().addShutdownHook(this.shutdownHook);
	}

	/**
	 * Create a harness for processes that start fast and need little memory.
	 * @return the harness
	 */
	public static ProcessHarness small() {
		return new ProcessHarness(List.of("-Xmx160m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xshare:auto"));
	}

	/**
	 * Start a process and wait for its ready line.
	 * @param name the name in error messages
	 * @param mainClass the class with the main method
	 * @param args its arguments
	 * @return the process
	 */
	public ManagedProcess start(String name, String mainClass, List<String> args) {
		ManagedProcess process = launch(name, mainClass, args);
		process.awaitReadyLine();
		return process;
	}

	/**
	 * Start a process without waiting for its ready line.
	 * @param name the name in error messages
	 * @param mainClass the class with the main method
	 * @param args its arguments
	 * @return the process
	 */
	public ManagedProcess launch(String name, String mainClass, List<String> args) {
		List<String> command = new ArrayList<>();
		command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
		command.addAll(this.jvmOptions);
		command.addAll(List.of("-cp", classPath(), mainClass));
		command.addAll(args);
		try {
			ManagedProcess process = new ManagedProcess(name,
					new ProcessBuilder(command).redirectErrorStream(true).start());
			synchronized (this.processes) {
				this.processes.add(process);
			}
			return process;
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot start " + name, ex);
		}
	}

	/**
	 * Describe all processes for the message of a failed test.
	 * @return for each process its state and the end of its output
	 */
	public String describe() {
		synchronized (this.processes) {
			return this.processes.stream()
				.map((process) -> process.describe(DESCRIBED_LINES))
				.collect(Collectors.joining("\n"));
		}
	}

	/**
	 * End all processes that are still alive: send SIGTERM to all, wait up to 3 s for
	 * each, then send SIGKILL to those still alive.
	 */
	@Override
	public void close() {
		List<ManagedProcess> alive = alive();
		alive.forEach(ManagedProcess::unfreeze);
		alive.forEach(ManagedProcess::terminate);
		try {
			for (ManagedProcess process : alive) {
				process.endsWithin(TERMINATION_GRACE_SECONDS);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		killAll();
		Runtime.getRuntime().removeShutdownHook(this.shutdownHook);
	}

	private void killAll() {
		alive().forEach(ManagedProcess::kill);
	}

	private List<ManagedProcess> alive() {
		synchronized (this.processes) {
			return this.processes.stream().filter(ManagedProcess::isAlive).toList();
		}
	}

	// Surefire starts its JVM with a manifest-only jar and sets this property to the
	// actual class path.
	private static String classPath() {
		return System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
	}

}
