/**
 * Wiring and life cycle of a router without agents.
 */
package org.acaciamux.internal.process.direct;
