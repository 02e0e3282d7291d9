/**
 * Members of pools, their states and the load exchange.
 */
package org.acaciamux.internal.coordination.membership;
