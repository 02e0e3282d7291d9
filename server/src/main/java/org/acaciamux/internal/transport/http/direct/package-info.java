/**
 * HTTP between callers, a router without agents, and backend servers.
 */
package org.acaciamux.internal.transport.http.direct;
