/**
 * Benchmark of the cost of control: processor time and bytes for each process, and the
 * time until a change is in force.
 */
package org.acaciamux.examples.bench.control;
