package org.acaciamux.settings;

/**
 * Where the platform's services are. Immutable and thread-safe.
 *
 * @param objects the object API
 * @param vms the VM list
 * @param callsPerSecond calls that this process may make per second, each waiting watch
 * counted as one, 1 to 10,000
 */
public record PlatformSettings(Endpoint objects, Endpoint vms, int callsPerSecond) {
}
