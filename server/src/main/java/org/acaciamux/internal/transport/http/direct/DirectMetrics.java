package org.acaciamux.internal.transport.http.direct;

import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingWindowReservoir;

import org.acaciamux.internal.coordination.direct.CrashObserver;
import org.acaciamux.internal.transport.http.limit.ClientAccount;
import org.acaciamux.internal.transport.http.limit.Limit;

/**
 * Counters and histograms of a router without agents. Thread-safe.
 */
public final class DirectMetrics {

	/** Number of values that a histogram keeps; limits its memory to 4 KB. */
	private static final int HISTOGRAM_VALUES = 512;

	private static final String PREFIX = "acaciamux.direct.";

	private final MetricRegistry registry;

	private final Counter requests;

	private final Counter connections;

	private final Counter foreignResponses;

	private final Counter unattributedResponses;

	private final Counter skippedResponses;

	private final Counter unrequestedResponses;

	private final Counter responsesAfterEnd;

	private final Counter refusedBodies;

	private final Counter unservedRequests;

	private final Counter undeliveredResponses;

	private final Counter retries;

	private final Counter resumes;

	private final Counter coldSends;

	private final Counter coldSendsWithheld;

	private final Counter unreadablePeerMessages;

	private final Counter leftOutPeerEntries;

	private final Counter pauses;

	private final Counter pausedMs;

	private final AtomicInteger evacuatedDomains = new AtomicInteger();

	private final AtomicLong longestPauseMs = new AtomicLong();

	private final Histogram firstByteMs;

	private final Histogram totalMs;

	/**
	 * Create the metrics.
	 * @param registry the registry of all metrics
	 */
	public DirectMetrics(MetricRegistry registry) {
		this.registry = registry;
		this.requests = registry.counter(PREFIX + "requests");
		this.connections = registry.counter(PREFIX + "server-connections");
		this.foreignResponses = registry.counter(PREFIX + "foreign-responses");
		this.unattributedResponses = registry.counter(PREFIX + "unattributed-responses");
		this.skippedResponses = registry.counter(PREFIX + "skipped-responses");
		this.unrequestedResponses = registry.counter(PREFIX + "unrequested-responses");
		this.responsesAfterEnd = registry.counter(PREFIX + "responses-after-end");
		this.refusedBodies = registry.counter(PREFIX + "refused-bodies");
		this.unservedRequests = registry.counter(PREFIX + "unserved-requests");
		this.undeliveredResponses = registry.counter(PREFIX + "undelivered-responses");
		this.retries = registry.counter(PREFIX + "retries");
		this.resumes = registry.counter(PREFIX + "resumes");
		this.coldSends = registry.counter(PREFIX + "cold-sends");
		this.coldSendsWithheld = registry.counter(PREFIX + "cold-sends-withheld");
		this.unreadablePeerMessages = registry.counter(PREFIX + "unreadable-peer-messages");
		this.leftOutPeerEntries = registry.counter(PREFIX + "left-out-peer-entries");
		this.pauses = registry.counter(PREFIX + "pauses");
		this.pausedMs = registry.counter(PREFIX + "paused-ms");
		registry.gauge(PREFIX + "longest-pause-ms", () -> this.longestPauseMs::get);
		registry.gauge(PREFIX + "evacuated-domains", () -> this.evacuatedDomains::get);
		this.firstByteMs = histogram(PREFIX + "first-byte-ms");
		this.totalMs = histogram(PREFIX + "total-ms");
	}

	/**
	 * Report the memory of requests.
	 * @param budget bounds it
	 */
	public void bodyBudget(BodyBudget budget) {
		this.registry.registerGauge(PREFIX + "request-bytes", budget::bytes);
	}

	/**
	 * Report what clients hold.
	 * @param clients the account
	 */
	public void clients(ClientAccount clients) {
		this.registry.registerGauge(PREFIX + "client-bytes", clients::bytes);
		this.registry.registerGauge(PREFIX + "client-connections", clients::connections);
	}

	/**
	 * Count a connection that is closed because of a limit.
	 * @param limit the limit
	 */
	public void clientLimit(Limit limit) {
		this.registry.counter(PREFIX + "client-limit." + limit.label()).inc();
	}

	private Histogram histogram(String name) {
		return this.registry.register(name, new Histogram(new SlidingWindowReservoir(HISTOGRAM_VALUES)));
	}

	/**
	 * Report the evacuated failure domains.
	 * @param domains their number
	 */
	public void evacuatedDomains(int domains) {
		this.evacuatedDomains.set(domains);
	}

	/**
	 * Report the number of cold servers.
	 * @param servers returns the number
	 */
	public void coldServers(Gauge<Integer> servers) {
		this.registry.registerGauge(PREFIX + "cold-servers", servers);
	}

	/**
	 * Count a request that is about to be sent to a cold server.
	 * @param withinShare whether this router's share allows it
	 */
	public void coldSend(boolean withinShare) {
		(withinShare ? this.coldSends : this.coldSendsWithheld).inc();
	}

	void request() {
		this.requests.inc();
	}

	void connection() {
		this.connections.inc();
	}

	void foreignResponse() {
		this.foreignResponses.inc();
	}

	void unattributedResponse() {
		this.unattributedResponses.inc();
	}

	void skippedResponse() {
		this.skippedResponses.inc();
	}

	void unrequestedResponse() {
		this.unrequestedResponses.inc();
	}

	void responseAfterEnd() {
		this.responsesAfterEnd.inc();
	}

	void bodyRefused() {
		this.refusedBodies.inc();
	}

	void requestUnserved() {
		this.unservedRequests.inc();
	}

	void responseUndelivered() {
		this.undeliveredResponses.inc();
	}

	void retry() {
		this.retries.inc();
	}

	void resume() {
		this.resumes.inc();
	}

	/**
	 * Count a change of the records of crashes.
	 * @param change the change
	 */
	public void crash(CrashObserver.Change change) {
		this.registry.counter(PREFIX + "crash." + change.label()).inc();
	}

	void callerClosed(String cause) {
		this.registry.counter(PREFIX + "caller-closed." + cause).inc();
	}

	/**
	 * Count what a message to the other routers leaves out because it is too long.
	 * @param entries the number of entries
	 */
	public void leftOutPeerEntries(int entries) {
		this.leftOutPeerEntries.inc(entries);
	}

	/**
	 * Count a message of another router that cannot be read.
	 */
	public void unreadablePeerMessage() {
		this.unreadablePeerMessages.inc();
	}

	/**
	 * Report the hedges that the share of this router leaves at present. Called by the
	 * event loop and read by it.
	 * @param left counts them
	 */
	void hedgesLeft(Supplier<Long> left) {
		this.registry.registerGauge(PREFIX + "hedges-left", left::get);
	}

	void hedge(String change) {
		this.registry.counter(PREFIX + "hedges." + change).inc();
	}

	void paused(long ms) {
		this.pauses.inc();
		this.pausedMs.inc(ms);
		this.longestPauseMs.accumulateAndGet(ms, Math::max);
	}

	void firstByte(long ms) {
		this.firstByteMs.update(ms);
	}

	void ended(String outcome, long ms) {
		this.totalMs.update(ms);
		this.registry.counter(PREFIX + "outcome." + outcome.toLowerCase(Locale.ROOT)).inc();
	}

}
