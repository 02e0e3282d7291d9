/**
 * Load bound, fair queue, response tails, drain, and the life cycle of requests in an
 * agent.
 */
package org.acaciamux.internal.coordination.admission;
