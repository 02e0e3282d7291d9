package org.acaciamux.internal.transport.http.limit;

import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decoder of requests that bounds the number of fields and tells the memory of the head
 * that arrives. Confined to the event loop.
 */
public class LimitedDecoder extends HttpRequestDecoder {

	/** Heap of a field: its entry, name and value, without their characters. */
	private static final int FIELD_BYTES = 160;

	private final FieldCount fields;

	/**
	 * Create a decoder.
	 * @param config the limits of lines and of the head, which is changed
	 * @param maxFields largest number of fields of a head or of trailers
	 */
	protected LimitedDecoder(HttpDecoderConfig config, int maxFields) {
		this(config, new FieldCount(maxFields));
	}

	private LimitedDecoder(HttpDecoderConfig config, FieldCount fields) {
		super(config.setHeadersFactory(fields).setTrailersFactory(fields));
		this.fields = fields;
	}

	/**
	 * Create a decoder of requests for pages.
	 * @param maxFields largest number of fields
	 * @return the decoder
	 */
	public static LimitedDecoder forPages(int maxFields) {
		return new LimitedDecoder(new HttpDecoderConfig(), maxFields);
	}

	/**
	 * Return the memory of bytes and fields of the last head, which may be incomplete.
	 * @return the number of bytes
	 */
	long heldBytes() {
		return actualReadableBytes() + this.fields.bytes;
	}

	private static final class FieldCount implements HttpHeadersFactory {

		private final int max;

		private int count;

		private long bytes;

		private FieldCount(int max) {
			this.max = max;
		}

		@Override
		public HttpHeaders newHeaders() {
			this.count = 0;
			this.bytes = 0;
			return new CountedHeaders(this);
		}

		@Override
		public HttpHeaders newEmptyHeaders() {
			return newHeaders();
		}

		private void add(int length) {
			if (++this.count > this.max) {
				throw new TooLongFrameException("more than " + this.max + " fields");
			}
			this.bytes += FIELD_BYTES + length;
		}

	}

	private static final class CountedHeaders extends DefaultHttpHeaders {

		private final FieldCount fields;

		private CountedHeaders(FieldCount fields) {
			this.fields = fields;
		}

		@Override
		public HttpHeaders add(CharSequence name, Object value) {
			this.fields.add(name.length() + ((value instanceof CharSequence text) ? text.length() : 0));
			return super.add(name, value);
		}

	}

}
