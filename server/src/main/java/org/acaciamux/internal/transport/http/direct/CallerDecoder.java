package org.acaciamux.internal.transport.http.direct;

import java.nio.charset.StandardCharsets;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpConstants;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;

import org.acaciamux.internal.transport.http.limit.LimitedDecoder;

/**
 * Decodes the requests of a caller. Invariants: a request with both a content length and
 * a transfer encoding keeps both, so that it can be refused; a head that is refused at
 * one of its headers has all headers before it; line ends between requests are no input.
 * Confined to the event loop.
 */
final class CallerDecoder extends LimitedDecoder {

	private boolean headStarted;

	private boolean bodyDue;

	/** What is being decoded. */
	private ByteBuf input;

	/** Name of the last header that was read, null if there is none. */
	private AsciiString lastName;

	/** Index in the input at which the line of the last header ends. */
	private int lastLineEnd;

	/** The last header's value if it was read in an earlier call, otherwise null. */
	private String lastValue;

	private boolean chunked;

	CallerDecoder(HttpDecoderConfig config, int maxFields) {
		super(config, maxFields);
	}

	/**
	 * Return whether bytes have arrived that have not been passed on yet, such as a part
	 * of the headers of the next request.
	 * @return whether there are any
	 */
	boolean hasInput() {
		return this.headStarted || actualReadableBytes() > 0;
	}

	/**
	 * Return whether the last request has been read to its end and no byte of another one
	 * has arrived.
	 * @return whether no request is being read
	 */
	boolean betweenRequests() {
		return !hasInput() && !this.bodyDue;
	}

	/**
	 * Return whether a body in chunks is incomplete.
	 * @return whether it is
	 */
	boolean chunksDue() {
		return this.bodyDue && this.chunked;
	}

	@Override
	protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
		this.input = buffer;
		super.decode(ctx, buffer, out);
		this.input = null;
		if (out.isEmpty()) {
			keepLastValue(buffer);
			return;
		}
		this.headStarted = false;
		if (out.get(0) instanceof HttpMessage head) {
			this.chunked = HttpUtil.isTransferEncodingChunked(head);
		}
		this.bodyDue = !(out.get(out.size() - 1) instanceof LastHttpContent);
		if (out.get(0) instanceof HttpMessage message && message.decoderResult().isFailure()) {
			keepLastValue(buffer);
			addLastHeader(message.headers());
		}
		this.lastName = null;
	}

	// The input may be discarded before the next call.
	private void keepLastValue(ByteBuf buffer) {
		if (this.lastName == null || this.lastValue != null) {
			return;
		}
		int start = this.lastLineEnd - 1;
		while (start > 0 && buffer.getByte(start - 1) != HttpConstants.LF) {
			start--;
		}
		String line = buffer.toString(start, this.lastLineEnd - start, StandardCharsets.ISO_8859_1);
		this.lastValue = line.substring(line.indexOf(':') + 1).trim();
	}

	// The base class stores a header when the next one has been read.
	private void addLastHeader(HttpHeaders headers) {
		if (this.lastName == null || headers.contains(this.lastName)) {
			return;
		}
		try {
			headers.add(this.lastName, this.lastValue);
		}
		catch (IllegalArgumentException ex) {
			// It is the header at which the head was refused.
		}
	}

	@Override
	protected AsciiString splitHeaderName(byte[] line, int start, int length) {
		this.lastName = super.splitHeaderName(line, start, length);
		this.lastLineEnd = this.input.readerIndex();
		this.lastValue = null;
		return this.lastName;
	}

	@Override
	protected HttpMessage createMessage(String[] initialLine) throws Exception {
		this.headStarted = true;
		this.lastName = null;
		return super.createMessage(initialLine);
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		// Keeps both headers; RequestFraming refuses the request.
	}

}
