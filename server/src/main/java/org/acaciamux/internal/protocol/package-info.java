/**
 * Sessions between processes, HTTP header names and problem bodies.
 */
package org.acaciamux.internal.protocol;
