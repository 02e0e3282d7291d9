package org.acaciamux.internal.coordination.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.acaciamux.FailureCode;
import org.acaciamux.internal.protocol.wire.End;
import org.acaciamux.internal.protocol.wire.Frame;
import org.acaciamux.internal.protocol.wire.Header;
import org.acaciamux.internal.protocol.wire.RequestId;
import org.acaciamux.internal.protocol.wire.RequestState;
import org.acaciamux.internal.protocol.wire.ResponseHead;
import org.acaciamux.internal.protocol.wire.Submit;
import org.acaciamux.internal.protocol.wire.WireOutcome;

/**
 * An agent that follows the protocol: it runs each id at most once, never runs an id that
 * it reported as not found, and resumes by offset. It records the tag of each request
 * that it runs; a request's tag is its body.
 */
final class FakeAgent {

	static final String OWNER = "a";

	private static final int CHUNK = 200;

	final List<String> ran = new ArrayList<>();

	private final Map<RequestId, Run> runs = new HashMap<>();

	private final Set<RequestId> refused = new HashSet<>();

	private final String id;

	private final RouterFixture fixture;

	private final FaultyNetwork network;

	private final Random random;

	FakeAgent(String id, RouterFixture fixture, FaultyNetwork network, Random random) {
		this.id = id;
		this.fixture = fixture;
		this.network = network;
		this.random = random;
		network.agent(id, this::handle);
	}

	/**
	 * Return the response body that belongs to a tag.
	 * @param tag the tag
	 * @return the body
	 */
	static String bodyOf(String tag) {
		return (tag + ";").repeat(Math.floorMod(tag.hashCode() * 31, 700));
	}

	/**
	 * Forget all requests and close all links, like a process that restarts.
	 */
	void restart() {
		this.fixture.incarnations.merge(this.id, 10L, Long::sum);
		this.runs.values().forEach((run) -> run.link = null);
		this.runs.clear();
		this.refused.clear();
		List.copyOf(this.fixture.links)
			.stream()
			.filter((link) -> link.peer().id().equals(this.id))
			.forEach((link) -> link.close("agent restarted"));
	}

	private void handle(FakeLink link, Frame frame) {
		if (link.peer().incarnation() != this.fixture.incarnations.get(this.id)) {
			return;
		}
		switch (frame.getBodyCase()) {
			case SUBMIT -> submit(link, frame.getSubmit());
			case CREDIT -> credit(frame.getCredit().getId(), frame.getCredit().getBytes());
			case CANCEL -> this.runs.computeIfPresent(frame.getCancel().getId(), (key, run) -> {
				run.link = null;
				return run;
			});
			case RESOLVE -> resolve(link, frame.getResolve().getId());
			case RESUME -> resume(link, frame);
			default -> throw new AssertionError("unexpected frame " + frame);
		}
	}

	private void submit(FakeLink link, Submit submit) {
		RequestId requestId = submit.getId();
		if (this.runs.containsKey(requestId) || this.refused.contains(requestId)) {
			return;
		}
		boolean provedNotRun = !submit.getKeyed() || submit.getAttempt() == 1;
		WireOutcome outcome = provedNotRun ? WireOutcome.OUTCOME_NOT_RUN : WireOutcome.OUTCOME_UNKNOWN;
		FailureCode code = refusal(submit);
		if (code != null) {
			this.refused.add(requestId);
			boolean redirect = code != FailureCode.QUEUE_FULL;
			this.network.toRouter(link,
					AgentFrames.refused(requestId, code, outcome, redirect, this.random.nextInt(9), OWNER));
			return;
		}
		String tag = submit.getBody().toStringUtf8();
		this.ran.add(tag);
		Run run = new Run(requestId, tag, link, submit.getInitialCredit());
		this.runs.put(requestId, run);
		this.network.after(this.random.nextInt(400), () -> {
			run.started = true;
			sendHead(run);
			pump(run);
		});
	}

	private FailureCode refusal(Submit submit) {
		if (submit.getKeyed()) {
			return this.id.equals(OWNER) ? null : FailureCode.NOT_OWNER;
		}
		int choice = this.random.nextInt(100);
		if (choice < 20 && !submit.getFinalTrial()) {
			return FailureCode.LOAD_BOUND;
		}
		return (choice > 95) ? FailureCode.QUEUE_FULL : null;
	}

	private void credit(RequestId requestId, int bytes) {
		Run run = this.runs.get(requestId);
		if (run != null) {
			run.credit += bytes;
		}
	}

	private void resolve(FakeLink link, RequestId requestId) {
		RequestState state = RequestState.STATE_REFUSED;
		if (this.runs.containsKey(requestId)) {
			state = RequestState.STATE_RUNNING;
		}
		else if (this.refused.add(requestId)) {
			state = RequestState.STATE_NOT_FOUND;
		}
		WireOutcome outcome = this.runs.containsKey(requestId) ? WireOutcome.OUTCOME_UNSPECIFIED
				: WireOutcome.OUTCOME_NOT_RUN;
		long incarnation = this.fixture.incarnations.get(this.id);
		this.network.toRouter(link, AgentFrames.resolution(requestId, state, incarnation, outcome));
	}

	private void resume(FakeLink link, Frame frame) {
		Run run = this.runs.get(frame.getResume().getId());
		if (run == null) {
			resolve(link, frame.getResume().getId());
			return;
		}
		run.link = link;
		run.offset = (int) frame.getResume().getOffset();
		run.credit = frame.getResume().getInitialCredit();
		run.ended = false;
		if (run.started) {
			sendHead(run);
		}
	}

	private void sendHead(Run run) {
		send(run,
				Frame.newBuilder()
					.setHead(ResponseHead.newBuilder()
						.setId(run.id)
						.setStatus(200)
						.setServer(this.id)
						.addHeaders(Header.newBuilder().setName("tag").setValue(run.tag)))
					.build());
	}

	private void pump(Run run) {
		if (this.runs.get(run.id) != run) {
			return;
		}
		int size = (int) Math.min(Math.min(CHUNK, run.credit), run.body.length() - run.offset);
		if (size > 0) {
			send(run, AgentFrames.chunk(run.id, run.offset, run.body.substring(run.offset, run.offset + size)));
			run.offset += size;
			run.credit -= size;
		}
		else if (!run.ended && run.offset == run.body.length()) {
			run.ended = true;
			send(run, AgentFrames.end(run.id, run.offset));
		}
		if (!run.ended && this.random.nextInt(500) == 0) {
			run.ended = true;
			send(run,
					Frame.newBuilder()
						.setEnd(End.newBuilder()
							.setId(run.id)
							.setOutcome(WireOutcome.OUTCOME_UNKNOWN)
							.setFailureCode(FailureCode.BACKEND_FAILED.code()))
						.build());
		}
		this.network.after(10 + this.random.nextInt(40), () -> pump(run));
	}

	private void send(Run run, Frame frame) {
		if (run.link != null) {
			this.network.toRouter(run.link, frame);
		}
	}

	private static final class Run {

		private final RequestId id;

		private final String tag;

		private final String body;

		private FakeLink link;

		private long credit;

		private int offset;

		private boolean started;

		private boolean ended;

		private Run(RequestId id, String tag, FakeLink link, long credit) {
			this.id = id;
			this.tag = tag;
			this.body = bodyOf(tag);
			this.link = link;
			this.credit = credit;
		}

	}

}
