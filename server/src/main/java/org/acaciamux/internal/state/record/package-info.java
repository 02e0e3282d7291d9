/**
 * Records that operators write, and their schema versions.
 */
package org.acaciamux.internal.state.record;
