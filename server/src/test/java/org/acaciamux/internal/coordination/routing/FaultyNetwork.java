package org.acaciamux.internal.coordination.routing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;

import org.acaciamux.internal.protocol.wire.Frame;

/**
 * Delivers frames between a router and two fake agents on a virtual clock. It drops,
 * delays, duplicates and reorders frames, hands some to the router over the wrong link,
 * closes links and makes links silent.
 */
final class FaultyNetwork {

	static final long FAULTS_END_MS = 25_000;

	private static final int FAULT_PER_MILLE = 15;

	private static final long SILENCE_DETECTED_MS = 3_000;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::timeMs).thenComparingLong(Event::order));

	private final Map<String, BiConsumer<FakeLink, Frame>> agents = new HashMap<>();

	private final Map<FakeLink, long[]> lastArrival = new IdentityHashMap<>();

	private final Set<FakeLink> silent = new LinkedHashSet<>();

	private final RouterFixture fixture;

	private final Random random;

	private long order;

	long nowMs;

	FaultyNetwork(RouterFixture fixture, Random random) {
		this.fixture = fixture;
		this.random = random;
		fixture.onSend = this::toAgent;
	}

	void agent(String id, BiConsumer<FakeLink, Frame> handler) {
		this.agents.put(id, handler);
	}

	void at(long timeMs, Runnable action) {
		this.events.add(new Event(timeMs, this.order++, action));
	}

	void after(long delayMs, Runnable action) {
		at(this.nowMs + delayMs, action);
	}

	void runUntil(long endMs) {
		while (!this.events.isEmpty() && this.events.peek().timeMs() <= endMs) {
			Event event = this.events.poll();
			this.nowMs = event.timeMs();
			this.fixture.now = this.nowMs * 1_000_000;
			event.action().run();
		}
	}

	private void toAgent(FakeLink link, Frame frame) {
		deliver(link, 0, () -> this.agents.get(link.peer().id()).accept(link, frame));
	}

	void toRouter(FakeLink link, Frame frame) {
		FakeLink from = link;
		if (fault()) {
			from = this.fixture.links.get(this.random.nextInt(this.fixture.links.size()));
		}
		FakeLink reportedLink = from;
		deliver(link, 1, () -> this.fixture.router.handle(reportedLink, frame));
	}

	private void deliver(FakeLink link, int direction, Runnable delivery) {
		boolean onSilentLink = this.silent.contains(link);
		if (fault() || (onSilentLink && this.random.nextBoolean())) {
			return;
		}
		// Frames of a silent link may still arrive long after it was replaced.
		long delay = 1 + this.random.nextInt(10) + (onSilentLink ? 2_000 + this.random.nextInt(8_000) : 0);
		long[] last = this.lastArrival.computeIfAbsent(link, (key) -> new long[2]);
		boolean overtakes = fault();
		long arrival = overtakes ? this.nowMs + delay : Math.max(this.nowMs + delay, last[direction]);
		last[direction] = overtakes ? last[direction] : arrival;
		at(arrival, delivery);
		if (fault()) {
			at(arrival + this.random.nextInt(3_000), delivery);
		}
	}

	private boolean fault() {
		return this.nowMs < FAULTS_END_MS && this.random.nextInt(1_000) < FAULT_PER_MILLE;
	}

	/**
	 * Break a randomly chosen link if it is open: close it, or make it silent for ever.
	 */
	void breakRandomLink() {
		FakeLink link = this.fixture.links.isEmpty() ? null
				: this.fixture.links.get(this.random.nextInt(this.fixture.links.size()));
		if (link == null || !link.isOpen()) {
			return;
		}
		if (this.random.nextBoolean()) {
			link.close("reset by the test");
			return;
		}
		this.silent.add(link);
		after(SILENCE_DETECTED_MS, () -> this.fixture.router.linkSilent(link));
	}

	private record Event(long timeMs, long order, Runnable action) {
	}

}
