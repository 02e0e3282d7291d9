/**
 * Decides when a request that may be repeated is sent to a second server while the first
 * one is slow, from the recent response times of its service, the share of requests that
 * the operator allows and the load of the servers. Called by the requests of a router
 * without agents ({@code transport.http.direct}); not loaded while hedging is off.
 */
package org.acaciamux.internal.coordination.hedge;
