/**
 * Requests that are suspected to crash backend servers.
 */
package org.acaciamux.internal.coordination.quarantine;
