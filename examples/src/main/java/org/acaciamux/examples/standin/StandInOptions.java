package org.acaciamux.examples.standin;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;

/**
 * Command-line options of all stand-ins; each stand-in reads only some of them. Set once
 * by {@link #parse}, then only read. Not thread-safe.
 */
final class StandInOptions {

	@Parameter(names = "--port", description = "port on 127.0.0.1, 0 for an ephemeral one")
	int port;

	@Parameter(names = "--id", description = "name of the stand-in in its answers")
	String id = "stand-in";

	@Parameter(names = "--token-pause-ms", description = "pause between tokens in milliseconds")
	long tokenPauseMs = 5;

	@Parameter(names = "--cache-chats", description = "chats that the prefix cache holds")
	int cacheChats = 64;

	@Parameter(names = "--batch", description = "requests that run at once; others wait by priority")
	int batch = 32;

	@Parameter(names = "--load-lag-ms", description = "age of the reported load in milliseconds")
	long loadLagMs = 200;

	@Parameter(names = "--event-lag-ms", description = "delay of cache events in milliseconds")
	long eventLagMs = 500;

	@Parameter(names = "--event-gap", description = "every n-th cache event is lost, 0 for none")
	int eventGap;

	@Parameter(names = "--checks-fence", description = "refuse orders with an old fencing number")
	boolean checksFence;

	@Parameter(names = "--restart-ms",
			description = "pause in milliseconds before a crashed engine restarts, -1 to end the process")
	long restartMs = -1;

	@Parameter(names = "--weights", description = "host:port of the weight store, empty to load without one")
	String weights = "";

	@Parameter(names = "--bytes-per-second", description = "total rate of the weight store")
	long bytesPerSecond = 50_000_000;

	@Parameter(names = "--weight-bytes", description = "size of one model's weights")
	long weightBytes = 1_000_000;

	@Parameter(names = "--charge-ms", description = "duration of a charge in milliseconds")
	long chargeMs;

	@Parameter(names = "--lag-ms", description = "delay of changes of the VM list in milliseconds")
	long lagMs;

	static StandInOptions parse(String... args) {
		StandInOptions options = new StandInOptions();
		JCommander.newBuilder().addObject(options).build().parse(args);
		return options;
	}

	/**
	 * Print the ready line, which tells the harness on which port the stand-in listens.
	 * @param boundPort the port
	 */
	void printReady(int boundPort) {
		System.out.println("ready " + Exchange.newObject().put("port", boundPort).put("id", this.id));
		System.out.flush();
	}

}
