package org.acaciamux.internal.transport.http.direct;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.vavr.control.Either;

import org.acaciamux.internal.coordination.direct.CallerRequest;
import org.acaciamux.internal.coordination.direct.ReportedLoad;
import org.acaciamux.settings.Endpoint;

/**
 * Reads and writes the headers that callers and backend servers use. Makes no routing
 * decisions. Implementations are thread-safe.
 */
public interface WireFormat {

	/**
	 * Read the headers of a caller's request.
	 * @param request the request
	 * @return the parsed request, or why its headers are invalid
	 */
	Either<String, CallerRequest> request(HttpRequest request);

	/**
	 * Return the attempt id of a caller's request, also if its headers are invalid.
	 * @param request the request
	 * @return the id as the caller wrote it, the first one if there are several
	 */
	Optional<String> attemptId(HttpRequest request);

	/**
	 * Write the headers of a request to a backend server: those of the caller except for
	 * the ones that only the router may set, and those of the router.
	 * @param from the caller's headers
	 * @param to the headers to write
	 * @param forwarding the values of the router's own headers
	 */
	void forward(HttpHeaders from, HttpHeaders to, Forwarding forwarding);

	/**
	 * Read the headers of a backend server's response.
	 * @param response the response
	 * @return what the server states in them
	 */
	ServerReply reply(HttpResponse response);

	/**
	 * Values of the headers that the router adds to a request to a backend server.
	 *
	 * @param serverId the server that is to run the request
	 * @param remainingMs how long the caller still waits, in milliseconds, at least 1
	 * @param organisation the organisation that holds the caller's key
	 * @param lastEventId the last event that the caller has received, if the router
	 * resumes the stream
	 * @param promptSource a server from which the receiver copies the parts of the prompt
	 * that it has not cached
	 */
	record Forwarding(String serverId, long remainingMs, Optional<String> organisation, Optional<String> lastEventId,
			Optional<Endpoint> promptSource) {
	}

	/**
	 * What a backend server states in the headers of a response.
	 *
	 * @param attemptIds the caller's attempt that it answers; none or several different
	 * ones if it does not tell
	 * @param sealed whether the server has signed the response
	 * @param notRun whether the server states that it did not run the request
	 * @param encoded whether the body has a content coding and therefore is not the body
	 * that the server signed
	 * @param load the load that the server reports
	 * @param leaving whether the server announces that it leaves
	 * @param coldMs how much longer the server is cold, in milliseconds
	 */
	record ServerReply(Set<String> attemptIds, boolean sealed, boolean notRun, boolean encoded,
			Optional<ReportedLoad> load, boolean leaving, OptionalLong coldMs) {
	}

}
