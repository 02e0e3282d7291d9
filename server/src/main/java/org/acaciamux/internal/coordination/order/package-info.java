/**
 * Load slots and orders to load a model version at backend servers.
 */
package org.acaciamux.internal.coordination.order;
