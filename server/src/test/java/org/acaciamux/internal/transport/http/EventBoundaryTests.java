package org.acaciamux.internal.transport.http;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Guards against a stream of events that breaks off and is taken for complete, and
 * against a complete one that is taken for broken.
 */
public class EventBoundaryTests {

	@DataProvider
	public Object[][] streams() {
		return new Object[][] { { "", false }, { "data: a\n\n", false }, { "data: a\n\nid: 2\ndata: b\n\n", false },
				{ "data: a\r\n\r\n", false }, { "data: a\r\r", false }, { "data: a\n\n\n\n", false },
				{ "data: a\n\n: comment\n", false }, { ": comment\n\n", false }, { "d", true }, { "data: a", true },
				{ "data: a\n", true }, { "data: a\r\n", true }, { "data: a\r\n\r", true },
				{ "data: a\n\nid: 2\n", true }, { "data: a\n\n: comm", true }, { "data: a\n: comment\n", true },
				{ "data: a\n\n\ndata: b", true } };
	}

	@Test(dataProvider = "streams")
	public void boundaryIsFoundForEachLineEnd(String stream, boolean inside) {
		EventBoundary boundary = new EventBoundary();
		boundary.append(bytes(stream));
		assertEquals(boundary.insideEvent(), inside);
	}

	@Test(dataProvider = "streams")
	public void boundaryIsFoundIfEachByteArrivesAlone(String stream, boolean inside) {
		EventBoundary boundary = new EventBoundary();
		stream.chars().forEach((value) -> boundary.append(bytes(String.valueOf((char) value))));
		assertEquals(boundary.insideEvent(), inside);
	}

	@Test
	public void commentsAreNotEvents() {
		EventBoundary boundary = new EventBoundary();
		boundary.append(bytes(": comment\n\n"));
		assertEquals(boundary.eventSeen(), false);
		boundary.append(bytes("data: a\n\n"));
		assertEquals(boundary.eventSeen(), true);
	}

	private static ByteBuf bytes(String text) {
		return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
	}

}
