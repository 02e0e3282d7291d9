package org.acaciamux.internal.protocol;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

/**
 * Guards against trees that differ from those of Jackson's object mapper, and against one
 * value that makes a whole text unreadable.
 */
public class JsonTreesTests {

	@DataProvider
	public Object[][] texts() {
		return new Object[][] { { "{\"a\":[1,2.5,-3,true,false,null,\"x\\n\\u00e9\"],\"b\":{\"c\":{}}}" }, { "[]" },
				{ "12345678901234567890123" }, { "1785620476030" }, { "\"text\"" }, { " {} " } };
	}

	@Test(dataProvider = "texts")
	public void treesAreThoseOfTheObjectMapper(String text) throws IOException {
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		String expected = new ObjectMapper().readTree(text).toString();
		assertEquals(JsonTrees.read(bytes).toString(), expected);
		assertEquals(new String(JsonTrees.write(JsonTrees.read(bytes)), StandardCharsets.UTF_8), expected);
	}

	/**
	 * A response of the store that has no length may be truncated without notice.
	 */
	@Test
	public void textThatIsCutShortIsRejected() {
		String text = "{\"a\":[1,{\"b\":\"c\"}],\"d\":12}";
		for (int length = 0; length < text.length(); length++) {
			byte[] bytes = text.substring(0, length).getBytes(StandardCharsets.UTF_8);
			assertThrows(IOException.class, () -> JsonTrees.read(bytes));
		}
	}

	@Test
	public void malformedTextIsRejected() {
		for (String text : new String[] { "", "{", "{\"a\":", "[1,", "{} {}", "nonsense" }) {
			assertThrows(IOException.class, () -> JsonTrees.read(text.getBytes(StandardCharsets.UTF_8)));
		}
	}

	@DataProvider
	public Object[][] valuesThatATreeCannotHold() {
		return new Object[][] { { new Value("nested arrays", nested("[", 950, "]")) },
				{ new Value("200,000 nested arrays", nested("[", 200_000, "]")) },
				{ new Value("nested objects", nested("{\"a\":", 5_000, "}")) },
				{ new Value("long integer", "9".repeat(1_100)) },
				{ new Value("long fraction", "-0." + "1".repeat(50_000)) }, { new Value("infinite", "1e999") },
				{ new Value("negative infinite", "-1e999") }, { new Value("no number", "NaN") } };
	}

	private static String nested(String open, int depth, String close) {
		return open.repeat(depth) + (open.endsWith(":") ? "1" : "") + close.repeat(depth);
	}

	/**
	 * A list of the store has entries of many writers. One that could not be read made
	 * the list unreadable, and no router became ready. The thread has the stack of a
	 * router's event loop.
	 */
	@Test(dataProvider = "valuesThatATreeCannotHold")
	public void valueThatATreeCannotHoldSpoilsNoOther(Value value) throws Exception {
		String text = "{\"items\":[{\"slots\":1},{\"slots\":" + value.text() + ",\"a\":2},{\"slots\":3}],\"as_of\":9}";
		String[] written = new String[1];
		Throwable[] failure = new Throwable[1];
		Thread reader = new Thread(null, () -> {
			try {
				byte[] bytes = JsonTrees.write(JsonTrees.read(text.getBytes(StandardCharsets.UTF_8)));
				written[0] = new String(bytes, StandardCharsets.UTF_8);
			}
			catch (Throwable ex) {
				failure[0] = ex;
			}
		}, "reader", 256 * 1024);
		reader.start();
		reader.join();
		assertNull(failure[0], String.valueOf(failure[0]));
		assertTrue(written[0].startsWith("{\"items\":[{\"slots\":1},{\"slots\":"), written[0]);
		assertTrue(written[0].endsWith(",\"a\":2},{\"slots\":3}],\"as_of\":9}"), written[0]);
		assertTrue(written[0].contains("null"), written[0]);
	}

	@Test
	public void longNameSpoilsNoOther() throws IOException {
		String name = "n".repeat(60_000);
		String text = "{\"items\":[{\"" + name + "\":1},{\"a\":2}]}";
		assertEquals(JsonTrees.read(text.getBytes(StandardCharsets.UTF_8)).toString(), text);
	}

	@Test
	public void bytesThatAreNotUtf8AreReplaced() throws IOException {
		byte[] bytes = "{\"a\":\"x?y\",\"b\":\"\u00e9\"}".getBytes(StandardCharsets.UTF_8);
		bytes[7] = (byte) 0xff;
		assertEquals(JsonTrees.read(bytes).toString(), "{\"a\":\"x\ufffdy\",\"b\":\"\u00e9\"}");
	}

	/**
	 * Such a text is valid JSON, but the state that holds it could not be written for
	 * another router.
	 */
	@Test
	public void halfOfAPairIsReplacedSoThatTheTreeCanBeWritten() throws IOException {
		JsonNode tree = read("{\"a\":\"\\ud800\",\"b\":\"\\ud83d\\ude00\"}");
		JsonNode written = JsonTrees.read(JsonTrees.write(tree));
		assertEquals(written.path("a").asText(), "\ufffd");
		assertEquals(written.path("b").asText(), "\ud83d\ude00");
	}

	@Test
	public void halfOfAPairInANameSpoilsNoOther() throws IOException {
		JsonNode tree = read("{\"items\":[{\"\\udc00\":1},{\"a\":2}]}");
		assertEquals(JsonTrees.read(JsonTrees.write(tree)).path("items").path(1).path("a").asInt(), 2);
	}

	private static JsonNode read(String text) throws IOException {
		return JsonTrees.read(text.getBytes(StandardCharsets.UTF_8));
	}

	/** A text that is too long for the name of a test. */
	private record Value(String name, String text) {

		@Override
		public String toString() {
			return this.name;
		}

	}

}
