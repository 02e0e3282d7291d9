package org.acaciamux.examples.standin;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;

/**
 * Command line of the stand-ins; each uses the options that concern it. Not thread-safe;
 * filled once at the start.
 */
final class StandInOptions {

	@Parameter(names = "--port", description = "port on 127.0.0.1, 0 for an ephemeral one")
	int port;

	@Parameter(names = "--id", description = "name that the stand-in gives in its answers")
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

	@Parameter(names = "--restart-ms", description = "pause before a crashed engine is back, -1 to end the process")
	long restartMs = -1;

	@Parameter(names = "--weights", description = "host:port of the weight store that loads read from")
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
	 * Print the line that tells whoever started the process where it listens.
	 * @param boundPort the port
	 */
	void printReady(int boundPort) {
		System.out.println("ready " + Exchange.object().put("port", boundPort).put("id", this.id));
		System.out.flush();
	}

}
