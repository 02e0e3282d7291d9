/**
 * Load slots and orders to backend servers.
 */
package org.acaciamux.internal.coordination.order;
