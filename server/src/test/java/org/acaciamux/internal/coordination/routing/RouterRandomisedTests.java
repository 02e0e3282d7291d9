package org.acaciamux.internal.coordination.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;

import com.google.protobuf.ByteString;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.acaciamux.Outcome;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Drives a real router between callers and two agents over a network that drops, delays,
 * duplicates, reorders and misdirects frames, closes links and makes them silent, while
 * an agent restarts. The check reads only what callers received and what agents ran. It
 * guards against lost, duplicated and mixed-up responses and against a false
 * {@code not-run}.
 */
public class RouterRandomisedTests {

	private static final int SEEDS = 30;

	private static final int REQUESTS = 150;

	private static final int WINDOW_BYTES = 1_024;

	private static final long END_MS = 150_000;

	@DataProvider
	public Object[][] seeds() {
		long chosen = Long.getLong("acaciamux.seed", 0);
		LongStream seeds = (chosen != 0) ? LongStream.of(chosen) : LongStream.rangeClosed(1, SEEDS);
		return seeds.mapToObj((seed) -> new Object[] { seed }).toArray(Object[][]::new);
	}

	@Test(dataProvider = "seeds")
	public void everyRequestGetsOneTrueOutcomeAndOnlyItsOwnBody(long seed) {
		Random random = new Random(seed);
		RouterFixture fixture = new RouterFixture(
				new RouterSettings(1_000, WINDOW_BYTES, 2_000, 250, 10_000, 500, 1_000, 60_000, 1_000));
		FaultyNetwork network = new FaultyNetwork(fixture, random);
		List<FakeAgent> agents = List.of(new FakeAgent("a", fixture, network, random),
				new FakeAgent("b", fixture, network, random));
		List<Caller> callers = new ArrayList<>();
		for (int i = 0; i < REQUESTS; i++) {
			Caller caller = new Caller("r" + i, random.nextInt(4) == 0, random.nextInt(3), network, random);
			callers.add(caller);
			network.at(random.nextInt(20_000), () -> caller.call(fixture));
		}
		planFaults(fixture, network, agents, random);
		for (long tick = 100; tick < END_MS; tick += 100) {
			network.at(tick, fixture.router::tick);
		}
		network.runUntil(END_MS);
		List<String> ran = new ArrayList<>();
		agents.forEach((agent) -> ran.addAll(agent.ran));
		check(callers, ran, "seed " + seed + ": rerun with -Dacaciamux.seed=" + seed);
		assertEquals(fixture.router.inFlight(), 0);
	}

	private static void planFaults(RouterFixture fixture, FaultyNetwork network, List<FakeAgent> agents,
			Random random) {
		for (long time = 500; time < FaultyNetwork.FAULTS_END_MS; time += 500) {
			network.at(time, network::breakRandomLink);
		}
		for (int i = 0; i < 4; i++) {
			String agent = random.nextBoolean() ? "a" : "b";
			long start = random.nextInt(20_000);
			network.at(start, () -> fixture.unreachable.add(agent));
			network.at(start + random.nextInt(5_000), () -> fixture.unreachable.remove(agent));
		}
		network.at(random.nextInt(20_000), agents.get(random.nextInt(2))::restart);
	}

	private static void check(List<Caller> callers, List<String> ran, String hint) {
		int answered = 0;
		for (Caller caller : callers) {
			FakeSink sink = caller.sink;
			String where = hint + ", request " + caller.tag + " got " + sink.failure;
			assertTrue(sink.ends == 1 || (caller.cancelled && sink.ends == 0), where + ": ends " + sink.ends);
			assertEquals(sink.callsAfterEnd, 0, where);
			assertTrue(Collections.frequency(ran, caller.tag) <= 1, where + " but ran twice");
			String expected = FakeAgent.bodyOf(caller.tag);
			assertTrue(expected.startsWith(sink.body.toStringUtf8()), where + " and bytes of another response");
			if (sink.head != null) {
				assertEquals(sink.head.getHeaders(0).getValue(), caller.tag, where);
			}
			if (sink.failure != null && sink.failure.outcome() == Outcome.NOT_RUN) {
				assertFalse(ran.contains(caller.tag), where + " but it ran");
			}
			if (sink.answered()) {
				answered++;
				assertEquals(sink.body.size(), expected.length(), where);
			}
		}
		assertTrue(answered > REQUESTS / 3, hint + ": only " + answered + " requests were answered");
	}

	/**
	 * Calls once, reads with pauses, and sometimes goes away.
	 */
	private static final class Caller {

		private final String tag;

		private final boolean keyed;

		private final int attempt;

		private final FaultyNetwork network;

		private final Random random;

		private final FakeSink sink = new FakeSink() {

			@Override
			public void body(ByteString data) {
				super.body(data);
				Caller.this.network.after(Caller.this.random.nextInt(60),
						() -> Caller.this.handle.consumed(data.size()));
			}

		};

		private RoutedCall handle;

		private boolean cancelled;

		private Caller(String tag, boolean keyed, int attempt, FaultyNetwork network, Random random) {
			this.tag = tag;
			this.keyed = keyed;
			this.attempt = attempt;
			this.network = network;
			this.random = random;
		}

		private void call(RouterFixture fixture) {
			RoutedRequest template = this.keyed ? RouterFixture.order(RouterFixture.KEY, this.attempt)
					: RouterFixture.chat(this.tag);
			RoutedRequest request = new RoutedRequest(template.pool(), "POST", "/", List.of(),
					ByteString.copyFromUtf8(this.tag), template.chat(), "org", "normal", 30_000, template.affinity(),
					template.attempt(), template.key());
			this.handle = fixture.route(request, this.sink);
			if (this.random.nextInt(10) == 0) {
				this.network.after(this.random.nextInt(2_000), () -> {
					this.cancelled = true;
					this.handle.cancel();
				});
			}
		}

	}

}
