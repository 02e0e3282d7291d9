/**
 * Calls that must not run twice: keys, partitions, claims and takeover.
 */
package org.acaciamux.internal.coordination.claim;
