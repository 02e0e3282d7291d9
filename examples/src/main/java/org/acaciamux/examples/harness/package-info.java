/**
 * Starts stand-ins, routers and agents as processes of their own, for the demo, the
 * benchmarks and the process tests.
 */
package org.acaciamux.examples.harness;
