/**
 * HTTP server for callers, and HTTP clients for backend servers and the platform.
 */
package org.acaciamux.internal.transport.http;
