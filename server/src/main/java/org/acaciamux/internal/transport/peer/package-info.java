/**
 * Netty server and client for connections between processes.
 */
package org.acaciamux.internal.transport.peer;
