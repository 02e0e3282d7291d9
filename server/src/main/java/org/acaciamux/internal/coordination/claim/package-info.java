/**
 * Claims of idempotency keys, which keep a call from running twice: keys, partitions,
 * claims and takeovers.
 */
package org.acaciamux.internal.coordination.claim;
