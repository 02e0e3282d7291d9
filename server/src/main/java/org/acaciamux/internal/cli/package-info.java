/**
 * The command-line tool {@code acaciamux}. Reads and writes the platform's object API and
 * the admin ports of processes; nothing else in the system depends on it.
 */
package org.acaciamux.internal.cli;
