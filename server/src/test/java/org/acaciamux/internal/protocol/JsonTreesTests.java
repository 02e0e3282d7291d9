package org.acaciamux.internal.protocol;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

/**
 * Guards against trees that differ from those of Jackson's object mapper.
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

}
