package org.acaciamux.internal.process.direct;

import io.netty.channel.EventLoop;
import org.agrona.concurrent.NanoClock;

import org.acaciamux.internal.event.DecisionLog;
import org.acaciamux.settings.DirectSettings;

/**
 * The parts of a router that its directory uses. Immutable.
 *
 * @param settings the router's settings
 * @param loop the event loop on which the directory works
 * @param clock the monotonic clock
 * @param log receives a line for each change of the known state
 */
public record DirectoryParts(DirectSettings settings, EventLoop loop, NanoClock clock, DecisionLog log) {
}
