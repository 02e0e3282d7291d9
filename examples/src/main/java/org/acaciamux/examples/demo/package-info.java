/**
 * Demonstration of a small fleet whose processes all run on one machine.
 */
package org.acaciamux.examples.demo;
