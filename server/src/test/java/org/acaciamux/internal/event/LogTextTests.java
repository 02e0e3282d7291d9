package org.acaciamux.internal.event;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Guards against text of other processes that reads like other fields of a log line.
 */
public class LogTextTests {

	@Test
	public void idKeepsPrintableCharacters() {
		assertEquals(LogText.id("0b187ae3243e5796"), "0b187ae3243e5796");
		assertEquals(LogText.id("a=b,c/d+e:"), "a=b,c/d+e:");
	}

	@Test
	public void idCannotEndItsField() {
		assertEquals(LogText.id("a b\"c\td\u00e9\u007f"), "a?b?c?d??");
		assertEquals(LogText.id(""), "-");
	}

	@Test
	public void longIdTellsHowMuchWasCutOff() {
		assertEquals(LogText.id("x".repeat(1_000)), "x".repeat(64) + "~936");
	}

	@Test
	public void quotedTextCannotEndItsQuotes() {
		assertEquals(LogText.quoted("a\" outcome=\"b"), "\"a' outcome='b\"");
	}

	@Test
	public void longQuotedTextTellsHowMuchWasCutOff() {
		assertEquals(LogText.quoted("x".repeat(600)), '"' + "x".repeat(512) + "~88\"");
	}

}
