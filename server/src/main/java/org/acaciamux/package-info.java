/**
 * Public entry points of acaciamux: start a router or an agent, and the outcome types
 * that callers see.
 */
package org.acaciamux;
