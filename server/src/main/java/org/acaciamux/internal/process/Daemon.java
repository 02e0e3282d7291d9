package org.acaciamux.internal.process;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

import io.vavr.control.Either;

import org.acaciamux.Acaciamux;
import org.acaciamux.Acaciamux.StartFailure;
import org.acaciamux.Node;
import org.acaciamux.internal.event.EventLog;
import org.acaciamux.settings.NodeSettings;
import org.acaciamux.settings.SettingsFile;
import org.acaciamux.settings.SettingsProblem;

/**
 * Runs one node as the daemon: prints its ports, drains on the first SIGTERM and ends at
 * once on the second. Invariants: signals are handled before a port is bound, so that no
 * accepted caller is cut by the default action; the drain begins once, when the node has
 * started and a signal has arrived. Thread-safe.
 */
public final class Daemon {

	private final AtomicBoolean stopping = new AtomicBoolean();

	private final AtomicBoolean drainBegun = new AtomicBoolean();

	private volatile Node node;

	/**
	 * Check a settings file and print its problems.
	 * @param file the file
	 * @return the exit code
	 */
	public static ExitCode check(Path file) {
		return SettingsFile.read(file).fold((problems) -> reportProblems(file, problems), (settings) -> {
			System.out.println(file + ": settings are valid for " + settings.role().text() + " " + settings.id());
			return ExitCode.CLEAN;
		});
	}

	/**
	 * Start the node and return while it runs on its own threads.
	 * @param file the settings file
	 * @return {@link ExitCode#CLEAN} if it started, otherwise the code to exit with
	 */
	public ExitCode run(Path file) {
		Either<List<SettingsProblem>, NodeSettings> settings = SettingsFile.read(file);
		if (settings.isLeft()) {
			return reportProblems(file, settings.getLeft());
		}
		try {
			ProcessSignal.onEach(this::onSignal, "TERM", "INT");
		}
		catch (ReflectiveOperationException ex) {
			EventLog.log(ProcessEvent.START_FAILED, ex, "this JVM does not let the daemon handle SIGTERM");
			return ExitCode.INTERNAL_ERROR;
		}
		return Acaciamux.start(settings.get())
			.fold(Daemon::reportStartFailure, (started) -> announce(settings.get(), started));
	}

	private ExitCode announce(NodeSettings settings, Node started) {
		EventLog.log(ProcessEvent.STARTED, settings.role().text(), settings.id(), settings.failureDomain(),
				started.httpPort(), started.peerPort(), started.adminPort());
		System.out.printf("ready {\"id\":\"%s\",\"httpPort\":%d,\"peerPort\":%d,\"adminPort\":%d}%n", settings.id(),
				started.httpPort(), started.peerPort(), started.adminPort());
		System.out.flush();
		this.node = started;
		drainIfDue();
		return ExitCode.CLEAN;
	}

	private void onSignal() {
		if (!this.stopping.compareAndSet(false, true)) {
			EventLog.log(ProcessEvent.SECOND_SIGNAL);
			ExitCode.SECOND_SIGTERM.halt();
			return;
		}
		drainIfDue();
	}

	private void drainIfDue() {
		if (this.node != null && this.stopping.get() && this.drainBegun.compareAndSet(false, true)) {
			new Thread(this::drainAndExit, "acaciamux-drain").start();
		}
	}

	private void drainAndExit() {
		boolean complete = this.node.drain();
		this.node.close();
		(complete ? ExitCode.CLEAN : ExitCode.INTERNAL_ERROR).halt();
	}

	private static ExitCode reportProblems(Path file, List<SettingsProblem> problems) {
		System.err.println(file + ": " + problems.size() + " problem(s) in the settings:");
		for (SettingsProblem problem : problems) {
			System.err.println("  " + problem);
			EventLog.log(ProcessEvent.SETTINGS_INVALID, problem);
		}
		return ExitCode.BAD_SETTINGS;
	}

	private static ExitCode reportStartFailure(StartFailure failure) {
		System.err.println(failure.detail());
		EventLog.log(ProcessEvent.START_FAILED, failure.detail());
		return failure.addressInUse() ? ExitCode.ADDRESS_IN_USE : ExitCode.INTERNAL_ERROR;
	}

}
