/**
 * Immutable settings of a process, read from YAML and checked as a whole.
 */
package org.acaciamux.settings;
