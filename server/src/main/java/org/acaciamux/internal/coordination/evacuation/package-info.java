/**
 * Decides which failure domains are evacuated, so that no request is sent to their
 * servers. Decides from the sets that the directory and the other routers tell, each with
 * its position in the directory's history, and from the time since the directory returned
 * from an older copy. Called by the wiring of a router for each set that the directory or
 * another router tells, and by its periodic task.
 */
package org.acaciamux.internal.coordination.evacuation;
