import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** One run of a case: its record, its clock and the violations seen. Thread-safe. */
final class Run implements AutoCloseable {

	/** Whether the disruption takes place. */
	final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	private final long start = System.nanoTime();

	private final PrintWriter record;

	private final List<String> violations = new ArrayList<>();

	Run(Path record) throws IOException {
		this.record = new PrintWriter(Files.newBufferedWriter(record));
		log("run with trouble=" + this.trouble);
	}

	/** Milliseconds since the start. */
	long ms() {
		return (System.nanoTime() - this.start) / 1_000_000;
	}

	synchronized void log(String line) {
		this.record.printf(Locale.ROOT, "%9.3f s  %s%n", ms() / 1000.0, line);
		this.record.flush();
	}

	synchronized void violation(String line) {
		this.violations.add(line);
		log("VIOLATION " + line);
	}

	/** Number of violations so far. */
	synchronized int violations() {
		return this.violations.size();
	}

	/** Prints and records the verdict, and returns the exit code. */
	synchronized int verdict(String rule) {
		String line = this.violations.isEmpty() ? rule + " held"
				: rule + " broken " + this.violations.size() + " times, first: " + this.violations.get(0);
		log(line);
		System.out.println(line);
		return this.violations.isEmpty() ? 0 : 1;
	}

	static void sleep(long ms) {
		try {
			Thread.sleep(Math.max(0, ms));
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	static void background(String name, Runnable task) {
		Thread thread = new Thread(task, name);
		thread.setDaemon(true);
		thread.start();
	}

	@Override
	public synchronized void close() {
		this.record.close();
	}

}
