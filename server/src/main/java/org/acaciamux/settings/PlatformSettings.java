package org.acaciamux.settings;

/**
 * Addresses of the platform's services and the limit on calls to them. Immutable and
 * thread-safe.
 *
 * @param objects address of the object API
 * @param vms address of the service that serves the VM list
 * @param callsPerSecond number of calls that this process may make per second, where each
 * open watch counts as one, 1 to 10,000
 */
public record PlatformSettings(Endpoint objects, Endpoint vms, int callsPerSecond) {
}
