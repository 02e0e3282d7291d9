/**
 * Configuration records, their schema versions, and the table of the records held.
 */
package org.acaciamux.internal.state.record;
