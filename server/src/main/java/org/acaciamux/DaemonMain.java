package org.acaciamux;

import java.nio.file.Path;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;

import org.acaciamux.internal.process.Daemon;
import org.acaciamux.internal.process.ExitCode;

/**
 * Entry point of {@code acaciamuxd}. Exit codes: 0 clean stop, 1 internal error, 2
 * invalid settings or command line, 3 address in use, 4 broken invariant, 5 stopped by a
 * second SIGTERM. Not thread-safe.
 */
public final class DaemonMain {

	@Parameter(names = "--settings",
			description = "Run with this settings file, for example /etc/acaciamux/router.yaml")
	private String settings;

	@Parameter(names = "--check-settings", description = "Check this settings file and exit")
	private String check;

	@Parameter(names = "--version", description = "Print the version and exit")
	private boolean version;

	@Parameter(names = { "--help", "-h" }, help = true, description = "Print this help and exit")
	private boolean help;

	/** One line per event: time and level, followed by the fields of the event. */
	private static final String LOG_FORMAT = "%1$tFT%1$tT.%1$tL%1$tz level=%4$s %5$s%6$s%n";

	private DaemonMain() {
	}

	/**
	 * Start the daemon.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		System.setProperty("java.util.logging.SimpleFormatter.format", LOG_FORMAT);
		DaemonMain options = new DaemonMain();
		JCommander commander = JCommander.newBuilder().programName("acaciamuxd").addObject(options).build();
		try {
			commander.parse(args);
		}
		catch (ParameterException ex) {
			System.err.println(ex.getMessage());
			commander.usage();
			ExitCode.BAD_SETTINGS.halt();
		}
		ExitCode code = options.execute(commander);
		boolean runs = options.settings != null && code == ExitCode.CLEAN;
		if (!runs) {
			code.halt();
		}
	}

	private ExitCode execute(JCommander commander) {
		if (this.help) {
			commander.usage();
			return ExitCode.CLEAN;
		}
		if (this.version) {
			System.out.println("acaciamuxd " + Acaciamux.VERSION);
			return ExitCode.CLEAN;
		}
		if (this.check != null) {
			this.settings = null;
			return Daemon.check(Path.of(this.check));
		}
		if (this.settings == null) {
			System.err.println("no settings file given; for example: acaciamuxd --settings router.yaml");
			return ExitCode.BAD_SETTINGS;
		}
		return new Daemon().run(Path.of(this.settings));
	}

}
