/**
 * Benchmark of how much a surge of one organisation delays the requests of the others.
 */
package org.acaciamux.examples.bench.isolation;
