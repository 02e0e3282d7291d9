package org.acaciamux.internal.state;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against periodic tasks that never run again after an error.
 */
public class GuardedTaskTests {

	@Test
	public void failureReachesTheHandlerAndNothingElse() {
		List<Throwable> failures = new ArrayList<>();
		Error error = new StackOverflowError("test");
		new GuardedTask(() -> {
			throw error;
		}, failures::add).run();
		assertEquals(failures, List.of(error));
	}

	@Test
	public void periodicTaskRunsAgainAlthoughItAndItsHandlerThrow() throws InterruptedException {
		ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
		CountDownLatch runs = new CountDownLatch(3);
		executor.scheduleWithFixedDelay(new GuardedTask(() -> {
			runs.countDown();
			throw new OutOfMemoryError("test");
		}, (failure) -> {
			throw new OutOfMemoryError("test");
		}), 0, 1, TimeUnit.MILLISECONDS);
		assertTrue(runs.await(20, TimeUnit.SECONDS));
		executor.shutdownNow();
	}

}
