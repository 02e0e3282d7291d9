package org.acaciamux.examples.standin;

/**
 * Stands in for the weight store: {@code GET /v1/weights/{model}} sends the configured
 * number of bytes. All downloads share the configured rate equally. Confined to the
 * server's event loop.
 */
public final class WeightStoreStandIn {

	private static final long SLICE_INTERVAL_MS = 20;

	private static final int MAX_SLICE_BYTES = 64 * 1024;

	private final StandInServer server = new StandInServer(this::handle);

	private final long weightBytes;

	private long bytesPerSecond;

	private int downloads;

	private int highestDownloads;

	private long completed;

	private WeightStoreStandIn(StandInOptions options) {
		this.weightBytes = options.weightBytes;
		this.bytesPerSecond = options.bytesPerSecond;
	}

	/**
	 * Start the stand-in and print the ready line.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		StandInOptions options = StandInOptions.parse(args);
		options.printReady(new WeightStoreStandIn(options).server.start(options.port));
	}

	private void handle(Exchange exchange) {
		if (exchange.pathAfter("GET", "/v1/weights/").isPresent()) {
			this.downloads++;
			this.highestDownloads = Math.max(this.highestDownloads, this.downloads);
			exchange.beginStream("application/octet-stream");
			sendSlice(exchange, this.weightBytes);
		}
		else if (exchange.matches("POST", "/control/rate")) {
			this.bytesPerSecond = exchange.json().path("bytesPerSecond").asLong(this.bytesPerSecond);
			exchange.reply(200, Exchange.newObject().put("bytesPerSecond", this.bytesPerSecond));
		}
		else if (exchange.matches("GET", "/control/state")) {
			exchange.reply(200,
					Exchange.newObject()
						.put("downloads", this.downloads)
						.put("highestDownloads", this.highestDownloads)
						.put("completed", this.completed));
		}
		else {
			exchange.replyError(404, "no such path");
		}
	}

	private void sendSlice(Exchange exchange, long remaining) {
		if (remaining <= 0 || !exchange.isOpen()) {
			this.downloads--;
			this.completed += (remaining <= 0) ? 1 : 0;
			exchange.endStream();
			return;
		}
		long share = this.bytesPerSecond * SLICE_INTERVAL_MS / 1000 / Math.max(1, this.downloads);
		int slice = (int) Math.max(1, Math.min(remaining, Math.min(share, MAX_SLICE_BYTES)));
		exchange.write(new byte[slice]);
		this.server.schedule(() -> sendSlice(exchange, remaining - slice), SLICE_INTERVAL_MS);
	}

}
