package org.acaciamux.internal.transport.http.direct;

import java.util.function.IntSupplier;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpDecoderConfig;

/**
 * Decoder of one connection of a caller, with the header limit in force. A decoder keeps
 * the limit that it was created with, so a connection that is kept for long gets a new
 * one after a change of the limit. Invariant: each request is read under one limit.
 * Confined to the event loop.
 */
final class CallerInput {

	/** Longest request line, in bytes. */
	private static final int MAX_LINE_BYTES = 8_192;

	private final IntSupplier maxHeaderBytes;

	private final int maxFields;

	private CallerDecoder decoder;

	private int limit;

	CallerInput(IntSupplier maxHeaderBytes, int maxFields) {
		this.maxFields = maxFields;
		this.maxHeaderBytes = maxHeaderBytes;
		create();
	}

	private void create() {
		this.limit = this.maxHeaderBytes.getAsInt();
		this.decoder = new CallerDecoder(
				new HttpDecoderConfig().setMaxInitialLineLength(MAX_LINE_BYTES).setMaxHeaderSize(this.limit),
				this.maxFields);
	}

	CallerDecoder decoder() {
		return this.decoder;
	}

	/**
	 * Release what has arrived of a request, because the connection ends.
	 */
	void release() {
		create();
	}

	/**
	 * Return whether bytes have arrived that have not been passed on yet.
	 * @return whether there are any
	 */
	boolean hasInput() {
		return this.decoder.hasInput();
	}

	/**
	 * Apply a limit that has changed, unless a request is being read. Called before bytes
	 * are decoded.
	 * @param pipeline the pipeline of the connection
	 */
	void applyLimit(ChannelPipeline pipeline) {
		if (this.limit == this.maxHeaderBytes.getAsInt() || !this.decoder.betweenRequests()) {
			return;
		}
		CallerDecoder former = this.decoder;
		create();
		pipeline.replace(former, null, this.decoder);
	}

}
