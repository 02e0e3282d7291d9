package org.acaciamux.internal.coordination.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.regex.Pattern;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.agrona.concurrent.NanoClock;

import org.acaciamux.Failure;
import org.acaciamux.FailureCode;
import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.coordination.routing.CandidateChooser.Trial;
import org.acaciamux.internal.coordination.routing.RouterMetrics.Count;
import org.acaciamux.internal.event.EventLog;
import org.acaciamux.internal.protocol.FrameHandler;
import org.acaciamux.internal.protocol.PeerLink;
import org.acaciamux.internal.protocol.wire.Frame;
import org.acaciamux.internal.protocol.wire.RequestId;
import org.acaciamux.internal.state.LockRank;
import org.acaciamux.internal.state.RankedLock;
import org.acaciamux.internal.state.record.PoolSpec;

/**
 * Routes the requests of callers to agents. Invariants: every request ends exactly once;
 * frames reach only the request whose id they carry; after {@link #drain} no new request
 * is accepted. Thread-safe. Starts no threads: its owner calls {@link #tick} every 50 to
 * 200 ms, {@link #handle} for each frame, and {@link #linkSilent} when a link's
 * heartbeats are missing.
 */
public final class RequestRouter implements FrameHandler, RequestService {

	/** Retries that the budget gains for each 100 requests. */
	private static final int RETRY_PERCENT = 10;

	/** Retries that a full budget allows at once. */
	private static final int RETRY_BURST = 20;

	/** Routes that are kept for {@link #dump}. */
	private static final int RECENT_ROUTES = 256;

	/** Agents at which a request with a key may be tried besides the known owner. */
	private static final int MAX_OTHER_AGENTS = 3;

	private static final Pattern KEY_FORMAT = Pattern
		.compile("[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-7[0-9a-fA-F]{3}-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}");

	private final RankedLock randomLock = new RankedLock(LockRank.LEAF);

	private final RecentRoutes recentRoutes = new RecentRoutes(RECENT_ROUTES);

	private final RouterContext context;

	private final RouterSettings settings;

	private final RandomGenerator random;

	private final CallTable table;

	private final RouterShared shared;

	private final long incarnation;

	private volatile boolean draining;

	private volatile boolean drained;

	private volatile String notReadyReason = "";

	/**
	 * Create a router.
	 * @param context the parts of the process
	 * @param settings the limits
	 * @param incarnation the incarnation of this process
	 * @param clock the monotonic clock
	 * @param random the source of randomness, used under a lock
	 * @param registry receives the metrics
	 */
	public RequestRouter(RouterContext context, RouterSettings settings, long incarnation, NanoClock clock,
			RandomGenerator random, MetricRegistry registry) {
		this.context = context;
		this.settings = settings;
		this.incarnation = incarnation;
		this.random = random;
		this.table = new CallTable(incarnation);
		RouterMetrics metrics = new RouterMetrics(registry, this.table::size);
		this.shared = new RouterShared(context, settings, clock, this.table, new LinkReplacements(context.links()),
				new RetryBudget(RETRY_PERCENT, RETRY_BURST), metrics);
	}

	@Override
	public RoutedCall route(RoutedRequest request, ResponseSink sink) {
		this.shared.metrics().count(Count.REQUESTS);
		this.shared.budget().request();
		Optional<PoolSpec> pool = this.context.records().pool(request.pool());
		Optional<Failure> refusal = notReady(request).or(() -> invalid(request, pool));
		if (refusal.isPresent()) {
			return refuse(request, sink, refusal.get());
		}
		RouterCall call = call(request, pool.orElseThrow(), sink);
		if (!this.table.add(call, this.settings.maxInFlight())) {
			return refuse(request, sink, refusal(request, FailureCode.QUEUE_FULL, "The router holds "
					+ this.settings.maxInFlight() + " requests already; send the request again after the delay."));
		}
		call.start();
		return call;
	}

	@Override
	public void handle(PeerLink link, Frame frame) {
		Optional<RequestId> id = requestId(frame);
		if (id.isEmpty()) {
			return;
		}
		if (id.get().getIncarnation() != this.incarnation) {
			this.shared.metrics().count(Count.DROPPED_INCARNATION);
			return;
		}
		Optional<RouterCall> call = this.table.find(id.get());
		if (call.isEmpty()) {
			this.shared.metrics().count(Count.DROPPED_UNKNOWN_ID);
			return;
		}
		call.get().handle(link, id.get(), frame);
	}

	/**
	 * Handle a link over which nothing was received for the suspicion time although it
	 * was pinged: its requests move to a new link.
	 * @param link the link, still open
	 */
	public void linkSilent(PeerLink link) {
		this.table.users(link).forEach((call) -> call.linkSilent(link));
	}

	/**
	 * Check the time limits of the requests in flight and whether a drain is complete.
	 */
	public void tick() {
		this.table.all().forEach(RouterCall::tick);
		this.shared.replacements().tick();
		if (this.draining && !this.drained && this.table.size() == 0) {
			this.drained = true;
			EventLog.log(RoutingEvent.ROUTER_DRAINED);
		}
	}

	/**
	 * Refuse new requests from now on and finish those in flight.
	 */
	public void drain() {
		if (!this.draining) {
			this.draining = true;
			EventLog.log(RoutingEvent.ROUTER_DRAINING, this.table.size());
		}
	}

	/**
	 * Answer the requests whose response has not begun, because the process ends soon.
	 */
	public void refuseUnanswered() {
		this.table.all().forEach(RouterCall::refuseUnanswered);
	}

	/**
	 * Return the number of requests that a drain waits for.
	 * @return the requests in flight, at least 0
	 */
	public int inFlight() {
		return this.table.size();
	}

	/**
	 * List the requests that a drain waits for.
	 * @return a line for each request in flight, with its id, agent, state and age
	 */
	public List<String> waitingFor() {
		return this.table.all().stream().map(RouterCall::describe).toList();
	}

	/**
	 * Describe the state and the most recent routes, for the admin port.
	 * @return state without bodies, headers, paths, chats and keys
	 */
	public ObjectNode dump() {
		ObjectNode node = JsonNodeFactory.instance.objectNode();
		node.put("incarnation", Long.toHexString(this.incarnation));
		node.put("draining", this.draining);
		node.put("notReady", this.notReadyReason);
		node.put("inFlight", this.table.size());
		waitingFor().forEach(node.withArray("waitingFor")::add);
		this.recentRoutes.list().forEach((trace) -> node.withArray("recentRoutes").add(trace.toJson()));
		return node;
	}

	private RouterCall call(RoutedRequest request, PoolSpec pool, ResponseSink sink) {
		boolean keyed = keyed(request, pool);
		RouteTrace trace = new RouteTrace(request, keyed, this.shared.now());
		this.recentRoutes.add(trace);
		Trials trials = keyed ? ownerTrials(request, pool) : loadTrials(request, pool);
		return new RouterCall(this.shared, request, pool, keyed, trials, sink, trace);
	}

	private Trials loadTrials(RoutedRequest request, PoolSpec pool) {
		List<Member> members = this.context.members().agents(pool.name());
		String chat = request.chat().orElseGet(this::randomText);
		return new LoadTrials(this.context.chooser().plan(pool, members, chat, request.affinity()), this::findWorking);
	}

	private Trials ownerTrials(RoutedRequest request, PoolSpec pool) {
		String key = request.key().orElseThrow();
		List<Member> members = this.context.members().agents(pool.name());
		List<Member> others = this.context.chooser()
			.plan(pool, members, key, Optional.empty())
			.stream()
			.map(Trial::member)
			.limit(MAX_OTHER_AGENTS)
			.toList();
		return new OwnerTrials(this.context.owners().owner(pool, key), others, this::findWorking);
	}

	private Optional<Member> findWorking(String id) {
		return this.context.members().find(id).filter((member) -> member.state().acceptsWork());
	}

	private String randomText() {
		return Long.toHexString(this.randomLock.get(this.random::nextLong));
	}

	private Optional<Failure> notReady(RoutedRequest request) {
		if (this.draining) {
			return Optional.of(refusal(request, FailureCode.DRAINING,
					"This router is shutting down; send the request again over a new connection."));
		}
		String reason = "";
		if (this.context.members().ownNetworkLost()) {
			reason = "most agents are unreachable, probably because this router's own network is lost";
		}
		else if (!this.context.ready().getAsBoolean()) {
			reason = "this router does not have enough configuration yet";
		}
		noteReadiness(reason);
		return reason.isEmpty() ? Optional.empty() : Optional.of(refusal(request, FailureCode.NOT_READY,
				"The request was refused because " + reason + "; send it again after the delay."));
	}

	private void noteReadiness(String reason) {
		if (reason.equals(this.notReadyReason)) {
			return;
		}
		this.notReadyReason = reason;
		if (reason.isEmpty()) {
			EventLog.log(RoutingEvent.READY_AGAIN);
		}
		else {
			EventLog.log(RoutingEvent.NOT_READY, reason);
		}
	}

	private Optional<Failure> invalid(RoutedRequest request, Optional<PoolSpec> pool) {
		if (pool.isEmpty()) {
			return Optional.of(refusal(request, FailureCode.UNKNOWN_POOL, "No pool named " + request.pool()
					+ " is in force; check the name or write a BackendPool record, then send the request again."));
		}
		if (!keyed(request, pool.get())) {
			return Optional.empty();
		}
		if (request.key().isEmpty()) {
			return Optional.of(refusal(request, FailureCode.KEY_REQUIRED,
					"Calls of the pool " + request.pool() + " may not be repeated, so " + request.method()
							+ " needs the header Idempotency-Key with a UUID version 7, for example "
							+ "0197f3a1-5c00-7abc-8def-0123456789ab."));
		}
		if (!KEY_FORMAT.matcher(request.key().get()).matches()) {
			return Optional.of(refusal(request, FailureCode.KEY_INVALID, "The header Idempotency-Key is not a UUID "
					+ "version 7; send one like 0197f3a1-5c00-7abc-8def-0123456789ab."));
		}
		return Optional.empty();
	}

	private static boolean keyed(RoutedRequest request, PoolSpec pool) {
		return !pool.repeatable() && request.unsafe();
	}

	private Failure refusal(RoutedRequest request, FailureCode code, String detail) {
		long retryAfterMs = (code.httpStatus() == 503) ? this.settings.retryAfterMs() : 0;
		return new Failure(code, request.outcomeIfNeverSent(), detail, retryAfterMs);
	}

	private RoutedCall refuse(RoutedRequest request, ResponseSink sink, Failure failure) {
		RouteTrace trace = new RouteTrace(request, request.key().isPresent(), this.shared.now());
		trace.result(failure.code().code() + ", " + failure.outcome().headerValue());
		this.recentRoutes.add(trace);
		this.shared.metrics().failed(failure);
		sink.fail(failure, "");
		return EndedCall.INSTANCE;
	}

	private static Optional<RequestId> requestId(Frame frame) {
		return switch (frame.getBodyCase()) {
			case HEAD -> Optional.of(frame.getHead().getId());
			case CHUNK -> Optional.of(frame.getChunk().getId());
			case END -> Optional.of(frame.getEnd().getId());
			case REFUSED -> Optional.of(frame.getRefused().getId());
			case RESOLUTION -> Optional.of(frame.getResolution().getId());
			default -> Optional.empty();
		};
	}

	private enum EndedCall implements RoutedCall {

		INSTANCE;

		@Override
		public void consumed(long bytes) {
			// Nothing is under way.
		}

		@Override
		public void cancel() {
			// The request has ended already.
		}

	}

}
