package org.acaciamux.examples.standin;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;

/**
 * A request to a stand-in and the means to answer it. Confined to the server's event loop
 * thread.
 */
final class Exchange {

	static final ObjectMapper JSON = new ObjectMapper();

	private static final String REQUEST_ID = "Acaciamux-Request-Id";

	private final Channel channel;

	private final FullHttpRequest request;

	private final QueryStringDecoder uri;

	private final byte[] body;

	private final boolean keepAlive;

	private boolean answered;

	Exchange(Channel channel, FullHttpRequest request) {
		this.channel = channel;
		this.request = request;
		this.uri = new QueryStringDecoder(request.uri());
		this.body = new byte[request.content().readableBytes()];
		request.content().getBytes(request.content().readerIndex(), this.body);
		this.keepAlive = HttpUtil.isKeepAlive(request);
	}

	static ObjectNode newObject() {
		return JsonNodeFactory.instance.objectNode();
	}

	/**
	 * Return whether the request has the given method and path.
	 * @param method the method
	 * @param path the path without query
	 * @return whether both are equal
	 */
	boolean matches(String method, String path) {
		return method().equals(method) && path().equals(path);
	}

	/**
	 * Return the part of the path after a prefix.
	 * @param method the method
	 * @param prefix the prefix
	 * @return the decoded part, empty if the method or the prefix does not match
	 */
	Optional<String> pathAfter(String method, String prefix) {
		if (!method().equals(method) || !path().startsWith(prefix)) {
			return Optional.empty();
		}
		return Optional.of(path().substring(prefix.length()));
	}

	String method() {
		return this.request.method().name();
	}

	String path() {
		return this.uri.path();
	}

	String query(String name, String defaultValue) {
		List<String> values = this.uri.parameters().get(name);
		return (values != null) ? values.get(0) : defaultValue;
	}

	long queryLong(String name, long defaultValue) {
		return Long.parseLong(query(name, Long.toString(defaultValue)));
	}

	String header(String name, String defaultValue) {
		return this.request.headers().get(name, defaultValue);
	}

	byte[] body() {
		return this.body.clone();
	}

	JsonNode json() {
		if (this.body.length == 0) {
			return newObject();
		}
		try {
			return JSON.readTree(new String(this.body, StandardCharsets.UTF_8));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("the body is not JSON: " + ex.getOriginalMessage(), ex);
		}
	}

	void reply(int status, JsonNode value) {
		byte[] bytes = value.toString().getBytes(StandardCharsets.UTF_8);
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(bytes));
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
		this.answered = true;
		closeUnlessKeepAlive(this.channel.writeAndFlush(complete(response)));
	}

	void replyError(int status, String error) {
		if (!this.answered) {
			reply(status, newObject().put("error", error));
		}
	}

	/**
	 * Send the headers of an answer whose body is sent in chunks.
	 * @param contentType the content type
	 */
	void beginStream(String contentType) {
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
		HttpUtil.setTransferEncodingChunked(response, true);
		this.answered = true;
		this.channel.writeAndFlush(complete(response));
	}

	void write(byte[] bytes) {
		write(Unpooled.wrappedBuffer(bytes));
	}

	private void write(ByteBuf bytes) {
		this.channel.writeAndFlush(new DefaultHttpContent(bytes));
	}

	void endStream() {
		closeUnlessKeepAlive(this.channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
	}

	boolean isOpen() {
		return this.channel.isActive();
	}

	/**
	 * Run an action on the event loop thread.
	 * @param action the action
	 */
	void execute(Runnable action) {
		this.channel.eventLoop().execute(action);
	}

	/**
	 * Run an action once the connection is closed.
	 * @param action the action
	 */
	void onClose(Runnable action) {
		this.channel.closeFuture().addListener((future) -> action.run());
	}

	/**
	 * Close the connection without an answer.
	 */
	void abort() {
		this.answered = true;
		this.channel.close();
	}

	private HttpResponse complete(HttpResponse response) {
		HttpUtil.setKeepAlive(response, this.keepAlive);
		String requestId = this.request.headers().get(REQUEST_ID);
		if (requestId != null) {
			response.headers().set(REQUEST_ID, requestId);
		}
		return response;
	}

	private void closeUnlessKeepAlive(ChannelFuture written) {
		if (!this.keepAlive) {
			written.addListener(ChannelFutureListener.CLOSE);
		}
	}

}
