package org.acaciamux.internal.coordination.direct;

import java.util.Set;

/**
 * Servers of one service that run requests, write responses and crash, as one router or
 * several see it. Not thread-safe.
 */
final class PromptCrashes {

	static final String BAD = "bad";

	static final String COMMON = "common";

	/** Time that runs have to prove a part, in milliseconds. */
	static final int PROOF_MS = 1_500;

	final ManualClock clock = new ManualClock();

	private int servers;

	PromptSuspects table() {
		return new PromptSuspects(this.clock, CrashObserver.NONE);
	}

	PromptRun run(PromptSuspects at, Set<String> parts) {
		return at.started("s", parts);
	}

	String nextServer() {
		return "server-" + this.servers++;
	}

	String crash(PromptSuspects at, PromptRun... runs) {
		String server = nextServer();
		crash(at, server, runs);
		return server;
	}

	void crash(PromptSuspects at, String server, PromptRun... runs) {
		for (PromptRun run : runs) {
			at.brokeOff(run, server);
			run.ended();
		}
		this.clock.advance(100);
		at.lifetimeEnded(server);
	}

	void crashSeparately(PromptSuspects at, Set<String> parts, int crashes) {
		for (int i = 0; i < crashes; i++) {
			crash(at, run(at, parts));
			this.clock.advance(400);
		}
	}

	void prove(PromptRun run) {
		run.data(this.clock.nanoTime());
		this.clock.advance(500);
		run.data(this.clock.nanoTime());
	}

	void serve(PromptSuspects at, Set<String> parts) {
		PromptRun run = run(at, parts);
		prove(run);
		run.ended();
	}

}
