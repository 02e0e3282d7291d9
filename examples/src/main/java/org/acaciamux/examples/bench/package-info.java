/**
 * Benchmarks.
 */
package org.acaciamux.examples.bench;
