/**
 * HTTP front for callers, admin port, and HTTP clients.
 */
package org.acaciamux.internal.transport.http;
