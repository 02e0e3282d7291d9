/**
 * Stand-ins for the platform and the backend servers, the demo and the benchmarks.
 */
package org.acaciamux.examples;
