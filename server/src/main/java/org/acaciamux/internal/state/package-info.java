/**
 * Shared tables, ranked locks and the worker pool.
 */
package org.acaciamux.internal.state;
