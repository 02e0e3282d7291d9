/**
 * Starts stand-ins, routers and agents as separate processes, for the demo, the
 * benchmarks and the process tests.
 */
package org.acaciamux.examples.harness;
