/**
 * Wiring and life cycle of a process.
 */
package org.acaciamux.internal.process;
