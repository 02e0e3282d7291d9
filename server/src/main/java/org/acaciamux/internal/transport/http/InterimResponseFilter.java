package org.acaciamux.internal.transport.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.ReferenceCountUtil;

/**
 * Drops interim responses, which an aggregator would report like final ones. Confined to
 * the connection's event loop.
 */
final class InterimResponseFilter extends ChannelInboundHandlerAdapter {

	private boolean interim;

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (message instanceof HttpResponse response) {
			this.interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
		}
		if (this.interim) {
			ReferenceCountUtil.release(message);
			return;
		}
		context.fireChannelRead(message);
	}

}
