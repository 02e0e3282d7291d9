/**
 * Detection, isolation and quarantine of requests that are suspected of crashing backend
 * servers.
 */
package org.acaciamux.internal.coordination.quarantine;
