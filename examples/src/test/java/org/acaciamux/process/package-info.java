/**
 * Tests with real processes over loopback.
 */
package org.acaciamux.process;
