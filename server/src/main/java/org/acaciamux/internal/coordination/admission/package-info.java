/**
 * Admission and life cycle of requests in an agent: load bound, fair queue, response
 * streams, checks of the backend server, and drain.
 */
package org.acaciamux.internal.coordination.admission;
