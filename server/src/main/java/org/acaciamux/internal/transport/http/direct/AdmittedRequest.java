package org.acaciamux.internal.transport.http.direct;

import java.util.Optional;

import org.acaciamux.internal.coordination.direct.Admission;
import org.acaciamux.internal.coordination.direct.CallerRequest;
import org.acaciamux.internal.coordination.direct.Organisation;
import org.acaciamux.internal.coordination.direct.ServiceRoute;

/**
 * A request of a caller with what the configuration in force at its arrival says of it.
 * Immutable and thread-safe; a later configuration does not change it.
 *
 * @param request the request
 * @param route its route
 * @param service the service that serves it
 * @param organisation the organisation that sent it, empty if it is not known
 * @param waitClass how long it may wait for a slot
 * @param deadlineAt when its time limit passes, monotonic time in nanoseconds
 */
record AdmittedRequest(CallerRequest request, ServiceRoute route, String service, Optional<Organisation> organisation,
		Admission.WaitClass waitClass, long deadlineAt) {

	private static final long NANOS_PER_MS = 1_000_000;

	/**
	 * Return the time until the time limit.
	 * @param now the monotonic time in nanoseconds
	 * @return the time in milliseconds, negative if the limit has passed
	 */
	long remainingMs(long now) {
		return (this.deadlineAt - now) / NANOS_PER_MS;
	}

}
