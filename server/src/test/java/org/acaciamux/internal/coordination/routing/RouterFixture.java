package org.acaciamux.internal.coordination.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.protobuf.ByteString;
import io.vavr.control.Either;

import org.acaciamux.Failure;
import org.acaciamux.FailureCode;
import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.coordination.membership.MemberState;
import org.acaciamux.internal.coordination.membership.MembershipEvidence;
import org.acaciamux.internal.coordination.membership.MembershipView;
import org.acaciamux.internal.protocol.PeerLink;
import org.acaciamux.internal.protocol.PeerLinks;
import org.acaciamux.internal.protocol.wire.Frame;
import org.acaciamux.internal.protocol.wire.RequestId;
import org.acaciamux.internal.state.record.OrganisationSpec;
import org.acaciamux.internal.state.record.PoolSpec;
import org.acaciamux.internal.state.record.PrioritySpec;
import org.acaciamux.internal.state.record.RecordView;

/**
 * A real router with fake collaborators: agents {@code a} and {@code b} serve the pool
 * {@code chat} and the pool {@code orders}, whose calls may not be repeated.
 */
final class RouterFixture implements RecordView, MembershipView, MembershipEvidence, CandidateChooser, PeerLinks {

	static final String KEY = "0197f3a1-5c00-7abc-8def-0123456789ab";

	static final long INCARNATION = 77;

	final MetricRegistry registry = new MetricRegistry();

	final Set<String> unreachable = new HashSet<>();

	final Map<String, Long> incarnations = new HashMap<>(Map.of("a", 1L, "b", 2L));

	final List<String> evidence = new ArrayList<>();

	final List<String> served = new ArrayList<>();

	final List<FakeLink> links = new ArrayList<>();

	final Map<String, PoolSpec> pools = new HashMap<>(
			Map.of("chat", PoolSpec.modelDefaults("chat"), "orders", PoolSpec.plainDefaults("orders")));

	final RequestRouter router;

	String owner = "a";

	/** Links that the test opens by running the action; null opens links at once. */
	List<Runnable> pendingLinks;

	boolean networkLost;

	boolean ready = true;

	long now;

	BiConsumer<FakeLink, Frame> onSend = (link, frame) -> {
	};

	RouterFixture() {
		this(RouterSettings.defaults());
	}

	RouterFixture(RouterSettings settings) {
		RouterContext context = new RouterContext(this, this, this, this,
				(pool, key) -> Optional.ofNullable(this.owner), this, () -> this.ready);
		this.router = new RequestRouter(context, settings, INCARNATION, () -> this.now, new Random(7), this.registry);
	}

	RoutedCall route(RoutedRequest request, FakeSink sink) {
		return this.router.route(request, sink);
	}

	FakeSink route(RoutedRequest request) {
		FakeSink sink = new FakeSink();
		route(request, sink);
		return sink;
	}

	static RoutedRequest chat(String body) {
		return new RoutedRequest("chat", "POST", "/v1/chat", List.of(), ByteString.copyFromUtf8(body),
				Optional.of("secret-chat"), "org", "normal", 60_000, Optional.empty(), 0, Optional.empty());
	}

	static RoutedRequest order(String key, int attempt) {
		return new RoutedRequest("orders", "POST", "/charge", List.of(), ByteString.copyFromUtf8("body"),
				Optional.empty(), "org", "normal", 60_000, Optional.empty(), attempt, Optional.ofNullable(key));
	}

	/**
	 * Advance the clock in steps of 100 ms, with a tick of the router after each step.
	 * @param millis the time
	 */
	void advance(long millis) {
		for (long step = 0; step < millis; step += 100) {
			this.now += 100_000_000;
			this.router.tick();
		}
	}

	FakeLink link(String agent) {
		return this.links.stream()
			.filter((link) -> link.peer().id().equals(agent))
			.reduce((first, second) -> second)
			.orElseThrow();
	}

	RequestId lastId(FakeLink link) {
		List<Frame> submits = link.sent(Frame.BodyCase.SUBMIT);
		return submits.get(submits.size() - 1).getSubmit().getId();
	}

	long count(String metric) {
		return this.registry.counter("acaciamux.routing." + metric).getCount();
	}

	@Override
	public CompletionStage<Either<Failure, PeerLink>> link(Member member) {
		Optional<FakeLink> open = this.links.stream()
			.filter((link) -> link.peer().id().equals(member.id()) && link.isOpen())
			.reduce((first, second) -> second);
		return open.isPresent() ? CompletableFuture.completedFuture(Either.right(open.get())) : replace(member);
	}

	@Override
	public CompletionStage<Either<Failure, PeerLink>> replace(Member member) {
		if (this.unreachable.contains(member.id())) {
			return CompletableFuture
				.completedFuture(Either.left(Failure.notRun(FailureCode.AGENT_UNREACHABLE, "refused", 0)));
		}
		CompletableFuture<Either<Failure, PeerLink>> result = new CompletableFuture<>();
		Runnable open = () -> {
			FakeLink link = new FakeLink(member.id(), this.incarnations.get(member.id()),
					(from, frame) -> this.onSend.accept(from, frame));
			this.links.add(link);
			result.complete(Either.right(link));
		};
		if (this.pendingLinks != null) {
			this.pendingLinks.add(open);
			return result;
		}
		open.run();
		return result;
	}

	@Override
	public List<Trial> plan(PoolSpec pool, List<Member> members, String chat, Optional<String> holder) {
		return members.stream().map((member) -> new Trial(member, holder.equals(Optional.of(member.id())))).toList();
	}

	@Override
	public void served(String pool, String chat, String server) {
		this.served.add(pool + " " + chat + " " + server);
	}

	@Override
	public List<Member> agents(String pool) {
		return List.of(member("a"), member("b"));
	}

	private static Member member(String id) {
		return new Member(id, Member.AGENT, "127.0.0.1", 1, "r", "d-" + id, "chat", MemberState.LIVE, 0);
	}

	@Override
	public List<Member> routers() {
		return List.of();
	}

	@Override
	public Optional<Member> find(String id) {
		return agents("").stream().filter((member) -> member.id().equals(id)).findFirst();
	}

	@Override
	public boolean ownNetworkLost() {
		return this.networkLost;
	}

	@Override
	public void heardFrom(String id, long incarnation) {
		// Called for each frame; no test checks it.
	}

	@Override
	public void loadReported(String id, int load) {
		this.evidence.add(id + " load " + load);
	}

	@Override
	public void unreachable(String id) {
		this.evidence.add(id + " unreachable");
	}

	@Override
	public void leaving(String id) {
		this.evidence.add(id + " leaving");
	}

	@Override
	public Optional<PoolSpec> pool(String name) {
		return Optional.ofNullable(this.pools.get(name));
	}

	@Override
	public List<PoolSpec> pools() {
		return List.copyOf(this.pools.values());
	}

	@Override
	public OrganisationSpec organisation(String name) {
		return OrganisationSpec.defaults(name);
	}

	@Override
	public PrioritySpec priority(String name) {
		return PrioritySpec.defaults(name);
	}

	@Override
	public Optional<JsonNode> value(String kind, String name) {
		return Optional.empty();
	}

	@Override
	public long revision() {
		return 1;
	}

}
