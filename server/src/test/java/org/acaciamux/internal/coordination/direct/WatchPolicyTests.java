package org.acaciamux.internal.coordination.direct;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import org.testng.annotations.Test;

import org.acaciamux.internal.coordination.direct.WatchPolicy.Router;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against fleets in which all routers watch the directory, which then has to
 * answer each of them at every change, and against failure domains without a watcher.
 */
public class WatchPolicyTests {

	private static List<Router> fleet(int routers, int domains) {
		return IntStream.range(0, routers)
			.mapToObj((i) -> new Router("10.0.0." + (100 + i) + ":7340", "d" + i % domains, true))
			.toList();
	}

	private static List<Router> watchers(List<Router> live) {
		return live.stream().filter((router) -> {
			List<Router> others = new ArrayList<>(live);
			others.remove(router);
			return WatchPolicy.watches(router, others);
		}).toList();
	}

	@Test
	public void numberOfWatchersDoesNotGrowWithTheFleet() {
		assertEquals(watchers(fleet(33, 6)).size(), 6);
		assertEquals(watchers(fleet(360, 6)).size(), 6);
		assertEquals(watchers(fleet(20, 4)).size(), 8);
	}

	@Test
	public void allRoutersOfASmallFleetWatch() {
		assertEquals(watchers(fleet(4, 4)).size(), 4);
		assertEquals(watchers(fleet(5, 3)).size(), 5);
	}

	@Test
	public void everyFailureDomainHasAWatcher() {
		assertEquals(watchers(fleet(40, 6)).stream().map(Router::domain).distinct().count(), 6);
	}

	@Test
	public void nextRouterWatchesIfTheFirstOneIsLostOrNotAnswered() {
		List<Router> live = new ArrayList<>(fleet(36, 6));
		Router first = live.remove(0);
		assertTrue(watchers(live).stream().anyMatch((router) -> router.domain().equals(first.domain())));
		live.add(0, new Router(first.address(), first.domain(), false));
		assertTrue(watchers(live).contains(live.get(6)), "the second router of the domain watches too");
	}

	@Test
	public void fewRoutersAskADirectoryThatAnswersNone() {
		List<Router> live = fleet(36, 6).stream()
			.map((router) -> new Router(router.address(), router.domain(), false))
			.toList();
		assertEquals(watchers(live).size(), 6);
	}

	@Test
	public void routerThatIsNotAnsweredLeavesTheWatchToItsNeighbours() {
		List<Router> live = new ArrayList<>(fleet(36, 6));
		Router last = live.remove(35);
		Router unanswered = new Router(last.address(), last.domain(), false);
		assertFalse(WatchPolicy.watches(unanswered, live));
	}

}
