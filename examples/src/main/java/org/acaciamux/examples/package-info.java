/**
 * Stand-ins for the platform and the backend servers, a process harness, a demo and
 * benchmarks.
 */
package org.acaciamux.examples;
