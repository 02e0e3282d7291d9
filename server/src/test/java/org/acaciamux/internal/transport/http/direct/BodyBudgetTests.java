package org.acaciamux.internal.transport.http.direct;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against bodies that use up the heap of the router, and against a budget that is
 * not given back.
 */
public class BodyBudgetTests {

	private static final int MAX_BYTES = 1_000_000;

	private static final int MAX_LARGE_BYTES = 750_000;

	private static final int LARGE = 100_000;

	private static final int SMALL = 10_000;

	private static final int MAX_BODY_BYTES = 4_194_304;

	private BodyBudget budget;

	private List<Integer> refused;

	@BeforeMethod
	public void create() {
		this.budget = new BodyBudget(MAX_BYTES);
		this.refused = new ArrayList<>();
	}

	private RequestBody body(int id, long announced) {
		return new RequestBody(this.budget, announced, MAX_BODY_BYTES, () -> this.refused.add(id));
	}

	private static void add(RequestBody body, int bytes) {
		body.add(Unpooled.wrappedBuffer(new byte[bytes]));
	}

	private RequestBody whole(int id, int bytes) {
		RequestBody body = body(id, bytes);
		add(body, bytes);
		return body;
	}

	@Test
	public void announcedLengthOccupiesNoMemory() {
		for (int i = 0; i < 1_000; i++) {
			add(body(i, MAX_BODY_BYTES), 100);
		}
		assertEquals(this.budget.bytes(), 200_000);
		assertTrue(this.refused.isEmpty());
	}

	@Test
	public void memoryIsAtMostTwiceOfWhatHasArrived() {
		for (long announced : new long[] { 0, LARGE, 3_000_000 }) {
			RequestBody body = body(1, announced);
			for (int i = 0; i < 66; i++) {
				add(body, 1_500);
				assertTrue(this.budget.bytes() <= 2L * body.length(), "announced " + announced);
			}
			body.release();
		}
	}

	@Test
	public void bodyKeepsItsBytesAsItGrows() {
		RequestBody body = body(1, 0);
		for (int i = 0; i < 300; i++) {
			body.add(Unpooled.wrappedBuffer(new byte[] { (byte) i, (byte) (i >> 8) }));
		}
		for (int i = 0; i < 300; i++) {
			assertEquals(body.complete().getUnsignedByte(2 * i) + 256 * body.complete().getUnsignedByte(2 * i + 1), i);
		}
	}

	@Test
	public void bodiesThatBeganLastAreRefused() {
		List<RequestBody> bodies = new ArrayList<>();
		for (int i = 0; i < 20; i++) {
			RequestBody body = body(i, LARGE);
			bodies.add(body);
			add(body, 10_000);
		}
		assertTrue(this.refused.isEmpty());
		for (RequestBody body : bodies) {
			add(body, 90_000);
		}
		assertEquals(bodies.stream().filter((body) -> body.length() == LARGE).count(), 7);
		assertEquals(this.refused.stream().sorted().toList(), List.of(7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19));
		assertEquals(this.budget.bytes(), 7 * LARGE);
	}

	@Test
	public void smallBodiesAreAcceptedWhileLargeOnesHaveUsedUpTheirShare() {
		for (int i = 0; i < 20; i++) {
			add(body(i, LARGE), LARGE - 1);
		}
		assertTrue(this.budget.bytes() <= MAX_LARGE_BYTES);
		this.refused.clear();
		for (int i = 0; i < 20; i++) {
			whole(i, SMALL).complete();
		}
		assertTrue(this.refused.isEmpty());
	}

	@Test
	public void smallBodiesAreBoundedToo() {
		for (int i = 0; i < 1_000; i++) {
			add(body(i, SMALL), SMALL - 1);
			assertTrue(this.budget.bytes() <= MAX_BYTES);
		}
		assertFalse(this.refused.contains(0));
	}

	@Test
	public void smallBodyIsAcceptedWhileOthersDoNotBecomeComplete() {
		for (int i = 0; i < MAX_BYTES / SMALL; i++) {
			add(body(i, SMALL), SMALL - 1);
		}
		whole(-1, SMALL);
		assertFalse(this.refused.contains(-1));
	}

	@Test
	public void smallBodiesThatTrickleInAreRefusedBeforeThoseThatBeganLast() {
		List<RequestBody> trickling = new ArrayList<>();
		for (int i = 0; i < MAX_BYTES / SMALL; i++) {
			trickling.add(body(i, SMALL));
			add(trickling.get(i), SMALL / 2);
		}
		passMs(BodyBudget.SMALL_BODY_MS + 1);
		trickling.forEach((body) -> add(body, 1));
		RequestBody first = body(-1, 2 * SMALL);
		add(first, SMALL);
		RequestBody second = body(-2, SMALL);
		add(second, SMALL / 2);
		assertEquals(this.refused, List.of(0, 1, 2));
		add(first, SMALL);
		add(second, SMALL / 2);
		assertEquals(first.length() + second.length(), 3 * SMALL);
		assertTrue(this.budget.bytes() <= MAX_BYTES);
	}

	@Test
	public void smallBodyThatMakesProgressIsNotRefusedForALaterOne() {
		List<RequestBody> slow = new ArrayList<>();
		for (int i = 0; i < MAX_BYTES / SMALL; i++) {
			slow.add(body(i, SMALL));
			add(slow.get(i), SMALL / 2);
		}
		passMs(BodyBudget.SMALL_BODY_MS - 1_000);
		add(body(-1, SMALL), SMALL / 2);
		assertEquals(this.refused, List.of(-1));
		for (RequestBody body : slow) {
			add(body, SMALL / 2);
			assertEquals(body.complete().readableBytes(), SMALL);
		}
	}

	@Test
	public void completeSmallBodyIsNotRefusedForALaterOne() {
		for (int i = 0; i < MAX_BYTES / SMALL; i++) {
			whole(i, SMALL).complete();
		}
		passMs(2 * BodyBudget.SMALL_BODY_MS);
		whole(-1, SMALL);
		assertEquals(this.refused, List.of(-1));
	}

	private void passMs(long ms) {
		this.budget.tick(this.budget.now() + ms * 1_000_000);
	}

	@Test
	public void bodyOfUnknownLengthBecomesLarge() {
		RequestBody first = body(1, 0);
		RequestBody second = body(2, 0);
		add(first, 50_000);
		add(second, 50_000);
		for (int i = 0; i < 40; i++) {
			add(first, 10_000);
			add(second, 10_000);
		}
		assertEquals(this.refused, List.of(2));
		assertTrue(this.budget.bytes() <= MAX_LARGE_BYTES, "bytes " + this.budget.bytes());
	}

	@Test
	public void completeBodyIsNotRefused() {
		for (int i = 0; i < 7; i++) {
			whole(i, LARGE).complete();
		}
		whole(7, LARGE);
		assertEquals(this.refused, List.of(7));
		assertEquals(this.budget.bytes(), 7 * LARGE);
	}

	@Test
	public void releasedMemoryCanBeUsedAgain() {
		for (int i = 0; i < 1_000; i++) {
			RequestBody body = whole(i, LARGE);
			if (i % 2 == 0) {
				body.complete();
			}
			body.release();
			body.release();
		}
		assertTrue(this.refused.isEmpty());
		assertEquals(this.budget.bytes(), 0);
		assertFalse(this.budget.tight());
	}

	@Test
	public void nothingIsAddedToARefusedBody() {
		for (int i = 0; i < 7; i++) {
			whole(i, LARGE).complete();
		}
		RequestBody refusedBody = whole(7, LARGE);
		add(refusedBody, LARGE);
		assertEquals(refusedBody.length(), 0);
		assertEquals(this.refused, List.of(7));
	}

	// Guards against pipelined requests, which are read while an earlier one is served.
	@Test
	public void requestsReadAheadCountInTheBudget() {
		ReadAhead first = new ReadAhead(this.budget);
		first.add(new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[SMALL])));
		assertEquals(this.budget.bytes(), SMALL);
		assertFalse(first.full());
		for (int i = 0; i < 7; i++) {
			whole(i, LARGE).complete();
		}
		assertFalse(first.full());
		ReadAhead second = new ReadAhead(this.budget);
		for (int i = 0; i < 4; i++) {
			second.add(new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[SMALL])));
		}
		assertTrue(first.full());
		assertTrue(this.refused.isEmpty());
		first.clear();
		assertFalse(first.full());
		assertTrue(first.isEmpty());
	}

	@Test
	public void readingAheadOfOneConnectionIsBoundedByBytes() {
		ReadAhead readAhead = new ReadAhead(this.budget);
		int messages = 0;
		while (!readAhead.full()) {
			readAhead.add(new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[8_192])));
			messages++;
		}
		assertEquals(messages, 8);
		while (readAhead.poll() != null) {
			messages--;
		}
		assertEquals(messages, 0);
		assertEquals(this.budget.bytes(), 0);
	}

}
