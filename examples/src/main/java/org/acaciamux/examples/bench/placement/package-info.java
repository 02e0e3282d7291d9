/**
 * Benchmarks of the choice of backend servers.
 */
package org.acaciamux.examples.bench.placement;
