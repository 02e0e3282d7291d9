import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: what was sent, answered and run. Thread-safe. */
final class Record implements AutoCloseable {

	private final long startedAt = System.nanoTime();

	private final PrintWriter out;

	Record(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file));
	}

	long ms() {
		return (System.nanoTime() - this.startedAt) / 1_000_000;
	}

	synchronized void line(String text) {
		this.out.println(ms() + " " + text);
	}

	/** Writes a line that is also shown to whoever runs the case. */
	void say(String text) {
		System.out.println(ms() + " " + text);
		line(text);
	}

	@Override
	public synchronized void close() {
		this.out.close();
	}

}
