/**
 * Estimates how fast each backend server works now and how long a request takes there,
 * from the load and duration that servers report, the router's own requests and the
 * counts of the other routers. Called by placement, admission and the sends of requests;
 * the waiting time that a refused caller is told comes from the same estimate.
 */
package org.acaciamux.internal.coordination.speed;
