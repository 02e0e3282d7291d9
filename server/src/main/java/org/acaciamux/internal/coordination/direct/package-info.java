/**
 * Decisions of a router that calls backend servers itself, without agents: which server,
 * when to retry, what to refuse.
 */
package org.acaciamux.internal.coordination.direct;
