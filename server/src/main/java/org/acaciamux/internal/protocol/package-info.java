/**
 * Handshake, heartbeat and links between processes, HTTP header names, and problem
 * details bodies.
 */
package org.acaciamux.internal.protocol;
