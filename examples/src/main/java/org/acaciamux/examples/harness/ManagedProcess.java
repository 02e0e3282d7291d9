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
 * A process that the harness started. Signals go to exactly this process, by its id.
 * Thread-safe.
 */
public final class ManagedProcess {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final String READY_PREFIX = "ready ";

	private static final int KEPT_LINES = 400;

	private static final long READY_TIMEOUT_S = 60;

	private final String name;

	private final Process process;

	private final CompletableFuture<JsonNode> ready = new CompletableFuture<>();

	private final Deque<String> lines = new ArrayDeque<>();

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
	 * Wait for the line in which the process says where it listens.
	 * @return the object in that line
	 */
	public JsonNode awaitReadyLine() {
		try {
			return this.ready.get(READY_TIMEOUT_S, TimeUnit.SECONDS);
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
	 * Return the address for callers on this machine.
	 * @return {@code 127.0.0.1:port}
	 */
	public String hostPort() {
		return "127.0.0.1:" + port();
	}

	/**
	 * Ask the process to end (SIGTERM) without waiting.
	 */
	public void terminate() {
		this.process.destroy();
	}

	/**
	 * End the process at once (SIGKILL) and wait until it is gone.
	 */
	public void kill() {
		this.process.destroyForcibly();
		awaitExit(READY_TIMEOUT_S);
	}

	/**
	 * Freeze the process (SIGSTOP).
	 */
	public void freeze() {
		signal("-STOP");
	}

	/**
	 * Let a frozen process continue (SIGCONT).
	 */
	public void unfreeze() {
		signal("-CONT");
	}

	/**
	 * Wait for the end of the process.
	 * @param seconds how long to wait at most
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
	 * @return the lines
	 */
	public List<String> output() {
		synchronized (this.lines) {
			return List.copyOf(this.lines);
		}
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
				keep(line);
				if (line.startsWith(READY_PREFIX)) {
					this.ready.complete(JSON.readTree(line.substring(READY_PREFIX.length())));
				}
				line = reader.readLine();
			}
		}
		catch (IOException ex) {
			keep("output ended: " + ex.getMessage());
		}
		this.ready.completeExceptionally(new IllegalStateException("the process ended before it was ready"));
	}

	private void keep(String line) {
		synchronized (this.lines) {
			this.lines.add(line);
			if (this.lines.size() > KEPT_LINES) {
				this.lines.remove();
			}
		}
	}

}
