/**
 * Implementation of acaciamux; not part of the public API.
 */
package org.acaciamux.internal;
