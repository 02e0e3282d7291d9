package org.acaciamux;

import io.vavr.control.Either;

import org.acaciamux.internal.process.NodeStarter;
import org.acaciamux.settings.NodeSettings;

/**
 * Starts routers and agents inside a JVM. Thread-safe; holds no state. <pre>
 * NodeSettings settings = SettingsFile.read(Path.of("router.yaml")).get();
 * try (Node node = Acaciamux.start(settings).get()) {
 *     ...
 *     node.drain();
 * }
 * </pre>
 */
public final class Acaciamux {

	/** The version of this build. */
	public static final String VERSION = "0.1.0";

	private Acaciamux() {
	}

	/**
	 * Start a process with the given settings. Blocks until its ports are bound; the node
	 * becomes ready later, when it has received its configuration.
	 * @param settings the settings
	 * @return the running node, or why it did not start, for instance because a port is
	 * in use
	 */
	public static Either<StartFailure, Node> start(NodeSettings settings) {
		return NodeStarter.start(settings);
	}

	/**
	 * Why a node did not start.
	 *
	 * @param addressInUse whether a port is in use
	 * @param detail what happened and what to do next
	 */
	public record StartFailure(boolean addressInUse, String detail) {
	}

}
