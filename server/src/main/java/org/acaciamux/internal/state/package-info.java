/**
 * Ranked locks, task queues, the worker pool and stable hashes.
 */
package org.acaciamux.internal.state;
