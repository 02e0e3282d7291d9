package org.acaciamux.examples.harness;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * A process that the harness started. Signals are sent to its process id only.
 * Thread-safe.
 */
public final class ManagedProcess {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final String READY_PREFIX = "ready ";

	private static final int MAX_OUTPUT_LINES = 400;

	private static final long READY_TIMEOUT_SECONDS = 60;

	private final String name;

	private final Process process;

	private final CompletableFuture<JsonNode> ready = new CompletableFuture<>();

	private final Deque<String> outputLines = new ArrayDeque<>();

	ManagedProcess(String name, Process process) {
		this.name = name;
		this.process = process;
		Thread reader = new Thread(this::readOutput, "output-" + name);
		reader.setDaemon(true);
		reader.start();
	}

	public String name() {
		return this.name;
	}

	/**
	 * Return the id of the process.
	 * @return the id
	 */
	public long pid() {
		return this.process.pid();
	}

	public boolean isAlive() {
		return this.process.isAlive();
	}

	/**
	 * Wait for the line {@code ready {...}}, in which the process prints its ports.
	 * @return the JSON object in that line
	 */
	public JsonNode awaitReadyLine() {
		try {
			return this.ready.get(READY_TIMEOUT_SECONDS, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted while " + this.name + " started", ex);
		}
		catch (ExecutionException | TimeoutException ex) {
			throw new IllegalStateException(this.name + " did not become ready; its output: " + output(), ex);
		}
	}

	/**
	 * Return the port of the ready line's field {@code port}.
	 * @return the port
	 */
	public int port() {
		return awaitReadyLine().path("port").asInt();
	}

	/**
	 * Return the address on which the process listens.
	 * @return {@code 127.0.0.1:port}
	 */
	public String hostPort() {
		return "127.0.0.1:" + port();
	}

	/**
	 * Send SIGTERM without waiting for the process to end.
	 */
	public void terminate() {
		this.process.destroy();
	}

	/**
	 * Send SIGKILL and wait until the process has ended.
	 */
	public void kill() {
		this.process.destroyForcibly();
		awaitExit(READY_TIMEOUT_SECONDS);
	}

	/**
	 * Stop the process with SIGSTOP until {@link #unfreeze()}.
	 */
	public void freeze() {
		signal("-STOP");
	}

	/**
	 * Continue a frozen process with SIGCONT.
	 */
	public void unfreeze() {
		signal("-CONT");
	}

	/**
	 * Wait until the process has ended.
	 * @param seconds how long to wait at most; after that the call fails
	 * @return the exit code
	 */
	public int awaitExit(long seconds) {
		try {
			if (!this.process.waitFor(seconds, TimeUnit.SECONDS)) {
				throw new IllegalStateException(this.name + " did not end; its output: " + output());
			}
			return this.process.exitValue();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted while " + this.name + " ended", ex);
		}
	}

	boolean endsWithin(long seconds) throws InterruptedException {
		return this.process.waitFor(seconds, TimeUnit.SECONDS);
	}

	/**
	 * Return the last lines that the process printed.
	 * @return at most 400 lines
	 */
	public List<String> output() {
		synchronized (this.outputLines) {
			return List.copyOf(this.outputLines);
		}
	}

	/**
	 * Describe the process for the message of a failed test.
	 * @param lines the number of output lines to include, at most
	 * @return its name, whether it runs or how it ended, and its last output
	 */
	String describe(int lines) {
		List<String> output = output();
		String state = isAlive() ? "running" : "ended with code " + this.process.exitValue();
		return this.name + " (" + state + "):\n  "
				+ String.join("\n  ", output.subList(Math.max(0, output.size() - lines), output.size()));
	}

	private void signal(String signal) {
		try {
			new ProcessBuilder("kill", signal, Long.toString(pid())).start().waitFor();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void readOutput() {
		try (BufferedReader reader = new BufferedReader(
				new InputStreamReader(this.process.getInputStream(), StandardCharsets.UTF_8))) {
			String line = reader.readLine();
			while (line != null) {
				addOutputLine(line);
				if (line.startsWith(READY_PREFIX)) {
					this.ready.complete(JSON.readTree(line.substring(READY_PREFIX.length())));
				}
				line = reader.readLine();
			}
		}
		catch (IOException ex) {
			addOutputLine("output ended: " + ex.getMessage());
		}
		this.ready.completeExceptionally(new IllegalStateException("the process ended before it was ready"));
	}

	private void addOutputLine(String line) {
		synchronized (this.outputLines) {
			this.outputLines.add(line);
			if (this.outputLines.size() > MAX_OUTPUT_LINES) {
				this.outputLines.remove();
			}
		}
	}

}
