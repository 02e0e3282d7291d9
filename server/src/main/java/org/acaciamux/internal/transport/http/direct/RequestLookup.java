package org.acaciamux.internal.transport.http.direct;

import java.util.Optional;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.vavr.control.Either;

import org.acaciamux.internal.coordination.direct.CallerRequest;
import org.acaciamux.internal.coordination.direct.Organisation;
import org.acaciamux.internal.coordination.direct.ServiceRoute;
import org.acaciamux.internal.coordination.direct.TrafficConfig;

/**
 * Finds the route and the organisation of a request in the configuration in force. Holds
 * no state.
 */
final class RequestLookup {

	private RequestLookup() {
	}

	/**
	 * Look a request up.
	 * @param format reads its headers
	 * @param config the configuration in force
	 * @param head the head of the request
	 * @param log receives what is found
	 * @return why the request is invalid, or what it is
	 */
	static Either<Invalid, Found> find(WireFormat format, TrafficConfig config, HttpRequest head, ExchangeLog log) {
		Either<String, CallerRequest> parsed = format.request(head);
		if (parsed.isLeft()) {
			return Either.left(new Invalid(HttpResponseStatus.BAD_REQUEST, "invalid", parsed.getLeft()));
		}
		CallerRequest request = parsed.get();
		Optional<ServiceRoute> route = config.route(request.host(), request.path());
		if (route.isEmpty()) {
			return Either
				.left(new Invalid(HttpResponseStatus.NOT_FOUND, "no-route", "no route in version " + config.version()));
		}
		log.route(route.get().name());
		boolean needsKey = config.needsKey(route.get());
		Optional<Organisation> organisation = needsKey ? request.key().flatMap(config::organisation) : Optional.empty();
		if (needsKey && organisation.isEmpty()) {
			return Either.left(new Invalid(HttpResponseStatus.UNAUTHORIZED, "unknown-key",
					"key not in version " + config.version()));
		}
		return Either.right(new Found(request, route.get(), organisation));
	}

	/**
	 * A request with its route.
	 *
	 * @param request the request
	 * @param route its route
	 * @param organisation the organisation that sent it, empty if the route needs no key
	 */
	record Found(CallerRequest request, ServiceRoute route, Optional<Organisation> organisation) {
	}

	/**
	 * Why a request is not admitted.
	 *
	 * @param status the status of the response
	 * @param outcome the outcome for log and metrics
	 * @param reason the reason for the log
	 */
	record Invalid(HttpResponseStatus status, String outcome, String reason) {
	}

}
