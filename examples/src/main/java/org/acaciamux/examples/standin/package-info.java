/**
 * Small stand-ins for the platform, the VM list, the weight store, model engines and
 * plain services, for tests, the demo and manual use with curl.
 */
package org.acaciamux.examples.standin;
