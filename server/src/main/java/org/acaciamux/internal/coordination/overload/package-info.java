/**
 * Decides whether a request waits for a slot of its server or is refused when a service
 * has less room than its callers ask for, from the route's goal, the usual duration of
 * the service's requests and the urgency of the request compared with the others of its
 * service. Called by admission.
 */
package org.acaciamux.internal.coordination.overload;
