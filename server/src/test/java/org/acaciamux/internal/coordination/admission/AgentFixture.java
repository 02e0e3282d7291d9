package org.acaciamux.internal.coordination.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import java.util.function.UnaryOperator;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.protobuf.ByteString;

import org.acaciamux.internal.coordination.membership.PoolLoadView.PoolLoad;
import org.acaciamux.internal.coordination.quarantine.SuspectTable;
import org.acaciamux.internal.protocol.wire.Cancel;
import org.acaciamux.internal.protocol.wire.Credit;
import org.acaciamux.internal.protocol.wire.Frame;
import org.acaciamux.internal.protocol.wire.RequestId;
import org.acaciamux.internal.protocol.wire.Resolve;
import org.acaciamux.internal.protocol.wire.Resume;
import org.acaciamux.internal.protocol.wire.Submit;
import org.acaciamux.internal.state.record.OrganisationSpec;
import org.acaciamux.internal.state.record.PoolSpec;
import org.acaciamux.internal.state.record.PrioritySpec;
import org.acaciamux.internal.state.record.RecordView;

/**
 * An agent with fakes for its collaborators and a clock that the test advances. Not
 * thread-safe.
 */
final class AgentFixture {

	static final int CREDIT = 1 << 20;

	final FakeBackend backend = new FakeBackend();

	final FakeClaims claims = new FakeClaims();

	final FakeLink link = new FakeLink();

	final List<String> offered = new ArrayList<>();

	final SuspectTable suspects;

	final AgentService agent;

	PoolSpec pool = new PoolSpec("pool", true, true, 1.25, 0.5, 2, 4, 8, 30_000, 5_000, 16, 900_000, false, "",
			List.of());

	PoolLoad load = new PoolLoad(1, 0, 2);

	long nowMs = 1_000;

	private long sequence;

	AgentFixture() {
		this("agent", (fingerprint) -> Optional.of("agent"));
	}

	AgentFixture(String id, LongFunction<Optional<String>> designated) {
		this.suspects = new SuspectTable(id, designated);
		ChatCache cache = new ChatCache() {

			@Override
			public CompletableFuture<Optional<ByteString>> exportChat(String chat) {
				return CompletableFuture.completedFuture(Optional.of(ByteString.copyFromUtf8(chat)));
			}

			@Override
			public CompletableFuture<Boolean> importChat(ByteString bytes) {
				return CompletableFuture.completedFuture(true);
			}

		};
		ChatOffers offers = (poolName, chat, bytes) -> {
			this.offered.add(chat);
			return CompletableFuture.completedFuture(true);
		};
		this.agent = new AgentService(new AgentIdentity(id, "pool", 77), new Records(), () -> this.load,
				new AgentService.Server(this.backend, cache, offers), Optional.of(this.claims), this.suspects,
				() -> TimeUnit.MILLISECONDS.toNanos(this.nowMs), new MetricRegistry());
		this.agent.tick();
	}

	RequestId nextId() {
		return RequestId.newBuilder().setIncarnation(9).setSequence(++this.sequence).build();
	}

	RequestId submit(UnaryOperator<Submit.Builder> change) {
		return submit(this.link, change);
	}

	RequestId submit(FakeLink routerLink, UnaryOperator<Submit.Builder> change) {
		Submit.Builder submit = Submit.newBuilder()
			.setId(nextId())
			.setPool("pool")
			.setOrganisation("org")
			.setPriority("normal")
			.setDeadlineMs(60_000)
			.setMethod("POST")
			.setPath("/v1/chat/completions?secret=1")
			.setBody(ByteString.copyFromUtf8("hello"))
			.setInitialCredit(CREDIT)
			.setFinalTrial(true);
		Submit built = change.apply(submit).build();
		this.agent.handle(routerLink, Frame.newBuilder().setSubmit(built).build());
		return built.getId();
	}

	RequestId submit() {
		return submit(UnaryOperator.identity());
	}

	RequestId submitKeyed(String key) {
		return submit((submit) -> submit.setKeyed(true).setIdempotencyKey(key).setAttempt(1));
	}

	void cancel(RequestId id) {
		this.agent.handle(this.link, Frame.newBuilder().setCancel(Cancel.newBuilder().setId(id)).build());
	}

	void credit(RequestId id, int bytes) {
		Credit.Builder credit = Credit.newBuilder().setId(id).setBytes(bytes);
		this.agent.handle(this.link, Frame.newBuilder().setCredit(credit).build());
	}

	void resume(FakeLink routerLink, RequestId id, long offset) {
		Resume.Builder resume = Resume.newBuilder().setId(id).setOffset(offset).setInitialCredit(CREDIT);
		this.agent.handle(routerLink, Frame.newBuilder().setResume(resume).build());
	}

	org.acaciamux.internal.protocol.wire.Resolution resolve(RequestId id) {
		this.agent.handle(this.link, Frame.newBuilder().setResolve(Resolve.newBuilder().setId(id)).build());
		return this.link.resolution();
	}

	void advance(long ms) {
		this.nowMs += ms;
		this.agent.tick();
	}

	private final class Records implements RecordView {

		@Override
		public Optional<PoolSpec> pool(String name) {
			return Optional.of(AgentFixture.this.pool);
		}

		@Override
		public List<PoolSpec> pools() {
			return List.of(AgentFixture.this.pool);
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

}
