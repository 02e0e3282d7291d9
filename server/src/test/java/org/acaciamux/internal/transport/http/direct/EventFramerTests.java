package org.acaciamux.internal.transport.http.direct;

import java.nio.charset.StandardCharsets;
import java.util.Random;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against events that are lost, duplicated or truncated when a stream is resumed
 * at another server.
 */
public class EventFramerTests {

	private static final long SEED = Long.getLong("acaciamux.seed", 0L);

	private EventFramer framer;

	@BeforeMethod
	public void create() {
		this.framer = new EventFramer();
	}

	private String append(String text) {
		ByteBuf data = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
		return this.framer.append(data).toString(StandardCharsets.UTF_8);
	}

	@Test
	public void incompleteEventIsHeldBack() {
		assertEquals(append("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
		assertEquals(this.framer.lastId().orElseThrow(), "1");
		assertEquals(append("ta: b\n\n"), "id: 2\ndata: b\n\n");
		assertEquals(this.framer.lastId().orElseThrow(), "2");
	}

	@Test
	public void idOfAnIncompleteEventIsIgnored() {
		append("id: 1\ndata: a\n\nid: 2\ndata: b\n");
		assertEquals(this.framer.lastId().orElseThrow(), "1");
	}

	@Test
	public void eventsMayEndWithCarriageReturns() {
		assertEquals(append("id: 5\r\ndata: a\r\n\r\nx"), "id: 5\r\ndata: a\r\n\r\n");
		assertEquals(this.framer.lastId().orElseThrow(), "5");
	}

	@Test
	public void anyDivisionIntoPiecesKeepsAllBytes() {
		Random random = new Random(SEED + 1);
		for (int round = 0; round < 200; round++) {
			StringBuilder text = new StringBuilder();
			for (int i = 0; i < 20; i++) {
				text.append("id: ").append(i).append("\ndata: ").append("x".repeat(random.nextInt(9))).append("\n\n");
			}
			EventFramer pieces = new EventFramer();
			StringBuilder out = new StringBuilder();
			int at = 0;
			while (at < text.length()) {
				int end = Math.min(text.length(), at + 1 + random.nextInt(30));
				ByteBuf data = Unpooled.copiedBuffer(text.substring(at, end), StandardCharsets.UTF_8);
				String events = pieces.append(data).toString(StandardCharsets.UTF_8);
				assertTrue(events.isEmpty() || events.endsWith("\n\n"), events);
				out.append(events);
				at = end;
			}
			assertEquals(out.toString(), text.toString());
			assertEquals(pieces.lastId().orElseThrow(), "19");
		}
	}

}
