package org.acaciamux.internal.coordination.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

import com.google.protobuf.ByteString;

import org.acaciamux.internal.protocol.wire.Header;

/**
 * A backend server whose responses and failures the test controls. Not thread-safe.
 */
final class FakeBackend implements Backend {

	final List<Run> runs = new ArrayList<>();

	final List<CompletableFuture<Health>> probes = new ArrayList<>();

	Consumer<Run> onStart = (run) -> {
	};

	boolean refusing;

	boolean answersProbes = true;

	String incarnation = "one";

	@Override
	public Call start(BackendRequest request, Listener listener) {
		Run run = new Run(request, listener);
		if (this.refusing) {
			run.ended = true;
			listener.failed(Break.NOT_SENT, "connection refused");
			return run;
		}
		this.runs.add(run);
		this.onStart.accept(run);
		return run;
	}

	@Override
	public CompletionStage<Health> probe() {
		CompletableFuture<Health> probe = new CompletableFuture<>();
		if (this.answersProbes) {
			probe.complete(health());
		}
		else {
			this.probes.add(probe);
		}
		return probe;
	}

	Health health() {
		return new Health(this.refusing ? Health.State.REFUSED : Health.State.UP,
				this.refusing ? "" : this.incarnation);
	}

	List<Run> running() {
		return this.runs.stream().filter((run) -> !run.ended).toList();
	}

	Run last() {
		return this.runs.get(this.runs.size() - 1);
	}

	void crash(String nextIncarnation) {
		this.incarnation = nextIncarnation;
		running().forEach((run) -> run.fail(Break.BROKEN_OFF));
	}

	/**
	 * A request that the server runs.
	 */
	static final class Run implements Call {

		final BackendRequest request;

		private final Listener listener;

		boolean paused;

		boolean cancelled;

		boolean ended;

		private Run(BackendRequest request, Listener listener) {
			this.request = request;
			this.listener = listener;
		}

		@Override
		public void pause() {
			this.paused = true;
		}

		@Override
		public void resume() {
			this.paused = false;
		}

		@Override
		public void cancel() {
			this.cancelled = true;
			if (!this.ended) {
				fail(Break.CANCELLED);
			}
		}

		void status(int status) {
			this.listener.head(status, List.of());
		}

		void head() {
			this.listener.head(200, List.of(Header.newBuilder().setName("a").setValue("b").build()));
		}

		void data(String text) {
			this.listener.data(ByteString.copyFromUtf8(text));
		}

		void end() {
			this.ended = true;
			this.listener.end();
		}

		/**
		 * Answer with neither length nor chunks; the end of the connection ends the
		 * response.
		 */
		void answerWithConnection(String text) {
			head();
			this.listener.endsWithConnection();
			data(text);
			end();
		}

		void answer(String text) {
			head();
			data(text);
			end();
		}

		void fail(Break cause) {
			this.ended = true;
			this.listener.failed(cause, "test");
		}

		String body() {
			return this.request.body().toStringUtf8();
		}

	}

}
