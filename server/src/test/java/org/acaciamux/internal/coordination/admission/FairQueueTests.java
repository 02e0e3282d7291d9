package org.acaciamux.internal.coordination.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.testng.annotations.Test;

import org.acaciamux.internal.state.record.OrganisationSpec;
import org.acaciamux.internal.state.record.PrioritySpec;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against shares that do not match the weights, starvation, and expired work that
 * stays queued.
 */
public class FairQueueTests {

	private final FairQueue<Item> queue = new FairQueue<>();

	private Item item(String organisation, int weight, int level, long arrivedMs) {
		return new Item(new OrganisationSpec(organisation, weight, 1.0), new PrioritySpec("p" + level, level, 1_000),
				arrivedMs, arrivedMs + 60_000, new Object());
	}

	private List<String> drain(int count) {
		List<String> order = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			order.add(this.queue.poll(0).orElseThrow().organisation().name());
		}
		return order;
	}

	@Test
	public void turnsAreSharedInProportionToTheWeights() {
		for (int i = 0; i < 40; i++) {
			this.queue.add(item("light", 1, 5, 0));
			this.queue.add(item("heavy", 3, 5, 0));
		}
		long heavy = drain(40).stream().filter("heavy"::equals).count();
		assertEquals(heavy, 30);
	}

	@Test
	public void anOrganisationThatQueuesOneAtATimeDoesNotStarveOthers() {
		FairQueueTests other = new FairQueueTests();
		for (int i = 0; i < 20; i++) {
			other.queue.add(item("backlog", 1, 5, 0));
		}
		int served = 0;
		for (int i = 0; i < 20; i++) {
			if (other.queue.size("single") == 0) {
				other.queue.add(item("single", 1, 5, 0));
			}
			served += "backlog".equals(other.queue.poll(0).orElseThrow().organisation().name()) ? 1 : 0;
		}
		assertEquals(served, 10);
	}

	@Test
	public void anIdleOrganisationDoesNotAccumulateTurns() {
		FairQueueTests other = new FairQueueTests();
		for (int i = 0; i < 50; i++) {
			other.queue.add(item("busy", 1, 5, 0));
		}
		other.drain(30);
		for (int i = 0; i < 20; i++) {
			other.queue.add(item("late", 1, 5, 0));
		}
		long late = other.drain(20).stream().filter("late"::equals).count();
		assertTrue(late <= 11, "late had " + late + " of 20 turns");
	}

	@Test
	public void waitingRaisesALowPriorityAboveAHighOne() {
		FairQueueTests other = new FairQueueTests();
		other.queue.add(item("org", 1, 1, 0));
		other.queue.add(item("org", 1, 5, 3_900));
		assertEquals(other.queue.poll(3_900).orElseThrow().priority().level(), 5);
		other.queue.add(item("org", 1, 5, 4_100));
		assertEquals(other.queue.poll(4_200).orElseThrow().priority().level(), 1);
	}

	@Test
	public void theCountsStayExactUnderRandomUse() {
		long seed = Long.getLong("acaciamux.seed", 0);
		Random random = new Random(seed);
		FairQueue<Item> mixed = new FairQueue<>();
		List<Item> model = new ArrayList<>();
		for (long now = 0; now < 20_000; now++) {
			int action = random.nextInt(4);
			if (action < 2) {
				Item added = item("o" + random.nextInt(5), 1 + random.nextInt(3), random.nextInt(3), now);
				mixed.add(added);
				model.add(added);
			}
			else if (action == 2) {
				mixed.poll(now).ifPresent(model::remove);
			}
			else if (!model.isEmpty()) {
				mixed.remove(model.remove(random.nextInt(model.size())));
			}
			if (random.nextInt(50) == 0) {
				model.removeAll(mixed.expire(now, 200));
				long oldest = model.stream().mapToLong(Item::arrivedMs).min().orElse(now);
				assertTrue(now - oldest <= 200, "seed " + seed);
			}
			assertEquals(mixed.size(), model.size(), "seed " + seed);
		}
		int listed = mixed.backlog(20_000).stream().mapToInt(FairQueue.Backlog::count).sum();
		assertEquals(listed, model.size(), "seed " + seed);
	}

	record Item(OrganisationSpec organisation, PrioritySpec priority, long arrivedMs, long deadlineMs,
			Object identity) implements Queued {
	}

}
