/**
 * What control costs a process: processor time, bytes, and the time until a change is in
 * force.
 */
package org.acaciamux.examples.bench.control;
