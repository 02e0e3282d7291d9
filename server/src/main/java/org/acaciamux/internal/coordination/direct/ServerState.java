package org.acaciamux.internal.coordination.direct;

import java.util.List;

import org.acaciamux.internal.coordination.speed.ServerEstimate;
import org.acaciamux.internal.coordination.speed.ServerLoad;
import org.acaciamux.internal.coordination.speed.ServerSpeed;
import org.acaciamux.internal.state.StableHash;

/**
 * State of one backend server as known to this router: its directory entry, requests in
 * flight, reported load and failures. Invariants: {@link #inFlight()} counts the sends of
 * this router that have not ended; a suspect server gets no new request while another one
 * is available. Confined to the event loop.
 */
public final class ServerState {

	/**
	 * Time that a server stays suspect after the first failure to reach it, in
	 * nanoseconds; doubled with each further failure in succession.
	 */
	private static final long FIRST_SUSPICION_NANOS = 300_000_000L;

	/**
	 * Longest time that a server stays suspect, in nanoseconds: bounds the delay until a
	 * recovered server gets requests again.
	 */
	private static final long MAX_SUSPICION_NANOS = 2_000_000_000L;

	/** Weight of the newest result in the moving average of failures. */
	private static final double FAILURE_WEIGHT = 0.15;

	private static final int PERCENT = 100;

	private final PromptCache cache = new PromptCache();

	private final ServerLoad load = new ServerLoad();

	private final long idHash;

	private ServerEntry entry;

	private int pendingTokens;

	private double failureShare;

	private int failuresToReach;

	private long suspectUntil;

	private boolean suspect;

	private boolean refusing;

	private int outages;

	private long lastReceivedAt;

	ServerState(ServerEntry entry, long memoryTokens, long now) {
		this.entry = entry;
		this.idHash = StableHash.of(entry.id());
		this.cache.capacity(memoryTokens);
		this.lastReceivedAt = now;
	}

	void cacheCapacity(long tokens) {
		this.cache.capacity(tokens);
	}

	/**
	 * Return whether the next entry shows that the server was restarted.
	 * @param next the next entry of the same id
	 * @return whether both entries tell a start and the starts differ
	 */
	boolean restartsWith(ServerEntry next) {
		return restarted(next) && this.entry.startedMs() != 0 && next.startedMs() != 0;
	}

	private boolean restarted(ServerEntry next) {
		return next.startedMs() != this.entry.startedMs();
	}

	void update(ServerEntry next) {
		boolean restarted = restarted(next);
		this.entry = next;
		if (restarted) {
			this.cache.clear();
			this.load.restarted();
			this.failuresToReach = 0;
			this.suspect = false;
			this.failureShare = 0;
			this.refusing = false;
			this.outages = 0;
		}
	}

	/**
	 * Return the directory entry of the server.
	 * @return the entry
	 */
	public ServerEntry entry() {
		return this.entry;
	}

	/**
	 * Return the number of this router's requests at the server.
	 * @return the number, at least 0
	 */
	public int inFlight() {
		return this.load.inFlight();
	}

	/**
	 * Record that a request is being sent.
	 * @param prompt its prompt
	 * @return tokens that the server probably has to read
	 */
	public int started(List<PromptPart> prompt) {
		this.load.started();
		int missing = this.cache.missing(prompt);
		this.pendingTokens += missing;
		// The last part belongs to this request alone, unless it is the only one.
		this.cache.add((prompt.size() > 1) ? prompt.subList(0, prompt.size() - 1) : prompt);
		return missing;
	}

	/**
	 * Record that another router has sent a prompt to the server.
	 * @param prompt the prompt parts that requests share
	 */
	public void addPrompt(List<PromptPart> prompt) {
		this.cache.add(prompt);
	}

	/**
	 * List prompt parts that the server has probably cached.
	 * @param limit largest number of parts
	 * @return the parts, the most recently used last
	 */
	public List<PromptPart> cachedParts(int limit) {
		return this.cache.recent(limit);
	}

	/**
	 * Record that the server has read the prompt of a request, or that the request ended
	 * before that.
	 * @param tokens what {@link #started} returned
	 */
	public void promptRead(int tokens) {
		this.pendingTokens -= tokens;
	}

	/**
	 * Record that a request has ended.
	 */
	public void ended() {
		this.load.ended();
	}

	/**
	 * Record that bytes arrived from the server, which ends its suspect state.
	 * @param now the monotonic time in nanoseconds
	 */
	public void received(long now) {
		this.lastReceivedAt = now;
		this.failuresToReach = 0;
		this.suspect = false;
	}

	/**
	 * Return when bytes last arrived from the server.
	 * @return the monotonic time in nanoseconds
	 */
	public long lastReceivedAt() {
		return this.lastReceivedAt;
	}

	/**
	 * Record the load that the server reports.
	 * @param load the load
	 * @param now the monotonic time in nanoseconds
	 */
	public void reported(ReportedLoad load, long now) {
		this.load.reported(load, now);
	}

	/**
	 * Record the result of a request that reached the server.
	 * @param failed whether the request failed at the server
	 */
	public void recordResult(boolean failed) {
		this.failureShare += FAILURE_WEIGHT * ((failed ? 1 : 0) - this.failureShare);
	}

	/**
	 * Record that the server could not be reached or stopped sending.
	 * @param now the monotonic time in nanoseconds
	 * @return how long it gets no new requests, in nanoseconds
	 */
	public long failedToReach(long now) {
		long suspicion = Math.min(MAX_SUSPICION_NANOS, FIRST_SUSPICION_NANOS << Math.min(this.failuresToReach, 4));
		this.failuresToReach++;
		this.suspect = true;
		this.suspectUntil = now + suspicion;
		return suspicion;
	}

	/**
	 * Record that the server did not accept a connection.
	 * @param now the monotonic time in nanoseconds
	 */
	public void refusedConnection(long now) {
		this.refusing = true;
		failedToReach(now);
	}

	/**
	 * Record that the server accepted a connection.
	 */
	public void acceptedConnection() {
		this.outages += this.refusing ? 1 : 0;
		this.refusing = false;
	}

	/**
	 * Return what identifies this lifetime of the server as far as this router can tell:
	 * the directory lists a restart later than the server accepts connections again.
	 * @return the lifetime of the directory entry, and the number of times that the
	 * server refused connections in between
	 */
	public String observedLifetime() {
		return (this.outages == 0) ? this.entry.lifetime() : this.entry.lifetime() + "#" + this.outages;
	}

	/**
	 * Return whether the server gets no new requests because it could not be reached.
	 * @param now the monotonic time in nanoseconds
	 * @return whether it is suspect
	 */
	public boolean suspect(long now) {
		return this.suspect && this.suspectUntil - now > 0;
	}

	/**
	 * Return whether the server could not be reached and nothing has arrived from it
	 * since then.
	 * @return whether the server may be down
	 */
	public boolean unreachable() {
		return this.failuresToReach > 0;
	}

	boolean refusing() {
		return this.refusing;
	}

	void peersInFlight(int requests) {
		this.load.peersInFlight(requests);
	}

	/**
	 * Estimate the number of requests that the server has from all routers.
	 * @param now the monotonic time in nanoseconds
	 * @return the number, at least 0
	 */
	public int load(long now) {
		return this.load.load(now);
	}

	/**
	 * Describe the inputs of placement for the log.
	 * @param prompt the prompt of a request
	 * @param now the monotonic time in nanoseconds
	 * @return the inputs, with the age of the reported load
	 */
	public String describe(List<PromptPart> prompt, long now) {
		return "[" + this.load.describe(now) + " missingTokens=" + this.cache.missing(prompt) + " failures="
				+ Math.round(this.failureShare * PERCENT) + "%]";
	}

	/**
	 * Return the speed of the server.
	 * @return the speed, which is kept up to date
	 */
	public ServerSpeed speed() {
		return this.load.speed();
	}

	/**
	 * Estimate the waiting and service time of one more request.
	 * @param now the monotonic time in nanoseconds
	 * @return the estimate
	 */
	public ServerEstimate estimate(long now) {
		return this.load.estimate(this.entry.slots(), now);
	}

	int missing(List<PromptPart> prompt) {
		return this.cache.missing(prompt);
	}

	boolean cachesChat(List<PromptPart> prompt) {
		return prompt.size() > 1 && this.cache.contains(prompt.get(prompt.size() - 2));
	}

	int pendingTokens() {
		return this.pendingTokens;
	}

	double failureShare() {
		return this.failureShare;
	}

	long idHash() {
		return this.idHash;
	}

}
