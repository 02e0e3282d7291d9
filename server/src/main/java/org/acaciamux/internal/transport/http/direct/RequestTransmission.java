package org.acaciamux.internal.transport.http.direct;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;

import org.acaciamux.internal.coordination.direct.Organisation;

/**
 * Sends one request on connections to backend servers, with the headers that each of them
 * gets. Confined to the event loop.
 */
final class RequestTransmission implements SecondSend.Transmission {

	private final DirectContext context;

	private final AdmittedRequest admitted;

	private final HttpRequest head;

	private final ByteBuf body;

	private final ResponseRelay relay;

	private final ExchangeLog log;

	private final ServerSend.Listener listener;

	/**
	 * Create the transmission of a request.
	 * @param context the shared components
	 * @param admitted the request
	 * @param head its head as the caller sent it
	 * @param body its body
	 * @param relay passes its response on
	 * @param log its log
	 * @param listener receives the responses
	 */
	RequestTransmission(DirectContext context, AdmittedRequest admitted, HttpRequest head, ByteBuf body,
			ResponseRelay relay, ExchangeLog log, ServerSend.Listener listener) {
		this.context = context;
		this.admitted = admitted;
		this.head = head;
		this.body = body;
		this.relay = relay;
		this.log = log;
		this.listener = listener;
	}

	@Override
	public void transmit(ServerSend send, ServerChannel channel) {
		this.log.transmitted(send.trace());
		this.context.placements().add(send.serverId(), this.admitted.request().prompt());
		WireFormat.Forwarding forwarding = new WireFormat.Forwarding(send.serverId(),
				this.admitted.remainingMs(this.context.now()), this.admitted.organisation().map(Organisation::name),
				this.relay.lastEventId(), send.promptSource());
		send.transmit(channel, OutgoingRequest.of(this.head, this.body, this.context.format(), forwarding),
				this.listener);
	}

}
