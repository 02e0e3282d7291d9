/**
 * Numbered log events.
 */
package org.acaciamux.internal.event;
