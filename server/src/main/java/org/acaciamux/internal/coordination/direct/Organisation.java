package org.acaciamux.internal.coordination.direct;

import java.util.OptionalInt;

/**
 * An organisation of the traffic configuration. Immutable and thread-safe.
 *
 * @param name the name sent to backend servers
 * @param priority rank that takes precedence over the route's; 0 is the most urgent
 */
public record Organisation(String name, OptionalInt priority) {
}
