/**
 * Access to the platform's object API and VM list.
 */
package org.acaciamux.internal.coordination.platform;
