/**
 * Decides which backend servers are cold and whether this router may send one more
 * request to a cold one now. Decides from the entries of the directory, the responses of
 * the servers, the messages and the number of the other routers, and from what this
 * router has sent in the last second. Called by placement when a server is chosen, by the
 * requests when a connection is open, and by the exchange of messages. The state is kept
 * in memory of each router.
 */
package org.acaciamux.internal.coordination.warmup;
