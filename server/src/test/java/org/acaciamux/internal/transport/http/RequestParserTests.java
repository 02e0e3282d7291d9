package org.acaciamux.internal.transport.http;

import java.util.List;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.vavr.control.Either;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.acaciamux.Failure;
import org.acaciamux.FailureCode;
import org.acaciamux.Outcome;
import org.acaciamux.internal.coordination.routing.RoutedRequest;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against invalid or repeated control headers that are accepted, other headers
 * that are changed, and a wrong outcome for refused requests that have a key.
 */
public class RequestParserTests {

	@Test
	public void controlHeadersAreReadAndOtherHeadersPassThroughUnchanged() {
		RoutedRequest parsed = parse("/pools/chat/v1/x?q=%20", "Acaciamux-Chat", "c-1", "Acaciamux-Organisation",
				"kiosk", "Acaciamux-Deadline-Ms", "3600000", "Acaciamux-Affinity", "vm-3", "Acaciamux-Attempt", "1",
				"Idempotency-Key", "k", "traceparent", "00-1", "X-Own", "ä b", "Connection", "close, X-Hop", "X-Hop",
				"1", "Host", "h")
			.get();
		assertEquals(parsed.pool(), "chat");
		assertEquals(parsed.path(), "/v1/x?q=%20");
		assertEquals(parsed.chat().get() + parsed.affinity().get() + parsed.key().get(), "c-1vm-3k");
		assertEquals(parsed.deadlineMs(), 3_600_000);
		assertEquals(parsed.headers().stream().map((header) -> header.getName() + "=" + header.getValue()).toList(),
				List.of("Idempotency-Key=k", "traceparent=00-1", "X-Own=ä b"));
	}

	@Test
	public void aBadAffinityTokenIsIgnoredBecauseItIsOnlyAHint() {
		assertTrue(parse("/pools/chat/x", "Acaciamux-Affinity", "not visible").get().affinity().isEmpty());
	}

	@DataProvider
	public Object[][] badInputs() {
		return new Object[][] { { "/other/chat/x", "X", "1" }, { "/pools/chat", "X", "1" }, { "/pools//x", "X", "1" },
				{ "/pools/ch%20at/x", "X", "1" }, { "/pools/chat/\u00e4", "X", "1" },
				{ "/pools/chat/x", "Acaciamux-Chat", "a b" }, { "/pools/chat/x", "Acaciamux-Chat", "x".repeat(129) },
				{ "/pools/chat/x", "Acaciamux-Organisation", "../x" },
				{ "/pools/chat/x", "Acaciamux-Deadline-Ms", "0" },
				{ "/pools/chat/x", "Acaciamux-Deadline-Ms", "3600001" },
				{ "/pools/chat/x", "Acaciamux-Deadline-Ms", "-1" },
				{ "/pools/chat/x", "Acaciamux-Deadline-Ms", "99999999999999999999" },
				{ "/pools/chat/x", "Acaciamux-Attempt", "first" }, { "/pools/chat/x", "Idempotency-Key", "" } };
	}

	@Test(dataProvider = "badInputs")
	public void badInputGetsAProblemThatSaysWhatToDo(String path, String name, String value) {
		Failure failure = parse(path, name, value).getLeft();
		assertEquals(failure.code(), FailureCode.BAD_REQUEST);
		assertTrue(failure.detail().endsWith("."), failure.detail());
	}

	@Test
	public void aRepeatedControlHeaderIsRefusedBecauseEitherValueCouldBeMeant() {
		assertTrue(parse("/pools/chat/x", "Idempotency-Key", "a", "Idempotency-Key", "b").isLeft());
	}

	@Test
	public void aRefusedRequestWithAKeyIsNotRunOnlyOnItsFirstAttempt() {
		assertEquals(parse("/pools/chat", "X", "1").getLeft().outcome(), Outcome.NOT_RUN);
		assertEquals(parse("/pools/chat", "Idempotency-Key", "k").getLeft().outcome(), Outcome.UNKNOWN);
		assertEquals(parse("/pools/chat", "Idempotency-Key", "k", "Acaciamux-Attempt", "2").getLeft().outcome(),
				Outcome.UNKNOWN);
		assertEquals(parse("/pools/chat", "Idempotency-Key", "k", "Acaciamux-Attempt", "1").getLeft().outcome(),
				Outcome.NOT_RUN);
	}

	private static Either<Failure, RoutedRequest> parse(String uri, String... headers) {
		HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, uri);
		for (int i = 0; i < headers.length; i += 2) {
			request.headers().add(headers[i], headers[i + 1]);
		}
		return new RequestParser().parse(request, ByteString.EMPTY);
	}

}
