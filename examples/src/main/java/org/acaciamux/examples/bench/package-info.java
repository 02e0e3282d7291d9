/**
 * Benchmarks. Those of latency and control cost start real processes; those of isolation
 * and placement run production classes in one process.
 */
package org.acaciamux.examples.bench;
