/**
 * Small stand-ins for the platform, the model engines and the plain services, for tests,
 * the demo and trials by hand with curl.
 */
package org.acaciamux.examples.standin;
