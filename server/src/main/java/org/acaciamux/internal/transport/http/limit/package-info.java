/**
 * Bounds what clients may use of a process: memory, connections and descriptors. Decides
 * which connection is closed over a bound, from the bytes that each holds, the state of
 * its request and the time since its last complete one. Called by the frontend and by the
 * servers of pages.
 */
package org.acaciamux.internal.transport.http.limit;
