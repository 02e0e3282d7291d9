/**
 * The command-line tool {@code acaciamux}. Reads and writes objects through the
 * platform's object API, reads the admin ports of processes, and runs experiments;
 * nothing else in the system depends on it.
 */
package org.acaciamux.internal.cli;
