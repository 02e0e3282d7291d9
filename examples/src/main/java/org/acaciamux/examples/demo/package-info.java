/**
 * Demonstration of a small fleet on one machine.
 */
package org.acaciamux.examples.demo;
