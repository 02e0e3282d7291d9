/**
 * Tests that run routers, agents and stand-ins as separate processes, connected over the
 * loopback interface.
 */
package org.acaciamux.process;
