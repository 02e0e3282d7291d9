/**
 * How much a surge of one organisation delays the others.
 */
package org.acaciamux.examples.bench.isolation;
