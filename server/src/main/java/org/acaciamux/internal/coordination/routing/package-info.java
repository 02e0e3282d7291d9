/**
 * Choice of backend servers and the life cycle of requests in a router.
 */
package org.acaciamux.internal.coordination.routing;
