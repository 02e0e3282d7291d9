package org.acaciamux.internal.process.direct;

import java.util.List;
import java.util.Optional;

import org.acaciamux.internal.coordination.direct.ServerEntry;
import org.acaciamux.internal.coordination.direct.TrafficConfig;
import org.acaciamux.settings.Endpoint;

/**
 * Where a router without agents learns its configuration, the backend servers and the
 * other routers. Methods are called on the event loop and never block.
 */
public interface Directory {

	/**
	 * Start to follow the directory.
	 * @param listener told of every change
	 */
	void start(Listener listener);

	/**
	 * Return what is known, for another router that cannot reach the directory.
	 * @param knownConfig version of the configuration that the other router knows; it is
	 * left out unless it is newer, because it is by far the largest part
	 * @return the state in the directory's own format
	 */
	byte[] export(long knownConfig);

	/**
	 * Take over what another router knows, as far as it is newer.
	 * @param state what {@link #export} of the other router returned
	 */
	void merge(byte[] state);

	/**
	 * Return how new the knowledge is, to compare it with that of other routers.
	 * @return the age
	 */
	Freshness freshness();

	/**
	 * Return whether the directory answers this router.
	 * @return whether the last call was answered, or none has ended yet
	 */
	boolean answering();

	/**
	 * Set the number of live routers, this one included. The more there are, the less
	 * often each asks: whoever hears of a change tells the others.
	 * @param live the number, at least 1
	 */
	void routers(int live);

	/**
	 * Save state that a restarted fleet takes up again. A state that could not be written
	 * is replaced by the next one.
	 * @param state the state, JSON
	 */
	void save(byte[] state);

	/**
	 * Withdraw this router's own entry because it stops.
	 */
	void leave();

	/**
	 * How new the knowledge of a directory is.
	 *
	 * @param config version of the newest configuration, 0 if none is known
	 * @param revision revision of the directory up to which all changes are known
	 * @param changed revision of the newest change of a backend server that is known
	 * @param ageMs milliseconds since the directory was last heard
	 */
	record Freshness(long config, long revision, long changed, long ageMs) {
	}

	/**
	 * Told of changes, on the event loop.
	 */
	interface Listener {

		/**
		 * State that a router has saved is known, once after the start.
		 * @param state the state
		 */
		void saved(byte[] state);

		/**
		 * A newer configuration is known.
		 * @param config the configuration
		 */
		void config(TrafficConfig config);

		/**
		 * The backend servers changed.
		 * @param servers all entries that can be used
		 */
		void servers(List<ServerEntry> servers);

		/**
		 * Other routers are known.
		 * @param routers where they receive messages
		 */
		void routers(List<Endpoint> routers);

	}

	/**
	 * Creates the directory of a router.
	 */
	interface Factory {

		/**
		 * Create a directory.
		 * @param parts what the router offers
		 * @return the directory, empty if the settings name none
		 */
		Optional<Directory> create(DirectoryParts parts);

	}

}
