/**
 * Decides whether the status line of a server's response is valid, and whether a response
 * that ended with its connection is whole, from what the connection shows. Called by the
 * connections to backend servers of routers and agents.
 */
package org.acaciamux.internal.transport.http.response;
