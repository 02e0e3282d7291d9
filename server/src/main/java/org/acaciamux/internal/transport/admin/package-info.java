/**
 * The admin port of a process.
 */
package org.acaciamux.internal.transport.admin;
