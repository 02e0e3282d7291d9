package org.acaciamux.internal.process.direct;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.acaciamux.internal.coordination.direct.DirectoryPosition;
import org.acaciamux.internal.coordination.direct.ServerEntry;
import org.acaciamux.internal.coordination.direct.TrafficConfig;
import org.acaciamux.internal.coordination.evacuation.EvacuationSet;
import org.acaciamux.settings.Endpoint;

/**
 * Source of the configuration, the backend servers and the other routers for a router
 * without agents. Methods are called on the event loop and never block.
 */
public interface Directory {

	/**
	 * Start following the directory.
	 * @param listener notified of every change
	 */
	void start(Listener listener);

	/**
	 * Export the known state, for another router that cannot reach the directory.
	 * @param knownConfig version of the configuration that the other router has; the
	 * configuration is included only if it is newer, because it is by far the largest
	 * part
	 * @param known position up to which the other router knows all changes of backend
	 * servers; if possible, only later changes are included
	 * @return the state in the directory's own format
	 */
	byte[] export(long knownConfig, DirectoryPosition known);

	/**
	 * Merge the state of another router as far as it is newer.
	 * @param state what {@link #export} of the other router returned
	 */
	void merge(byte[] state);

	/**
	 * Return how recent the known state is, to compare it with that of other routers.
	 * @return the freshness
	 */
	Freshness freshness();

	/**
	 * Learn from another router that the directory has returned from an older copy. If
	 * this router does not know of the era yet, it reads everything again.
	 * @param era the era that the other router knows
	 */
	void era(long era);

	/**
	 * Return whether the directory answers this router.
	 * @return whether the last call was answered or no call has ended yet
	 */
	boolean answering();

	/**
	 * Set the number of live routers, this one included. In a larger fleet each router
	 * asks less often, because a router that receives a change passes it on.
	 * @param live the number, at least 1
	 */
	void routers(int live);

	/**
	 * Set whether this router watches the backend servers in the directory, as it does
	 * after the start. Otherwise other routers do, and their state is merged here. The
	 * configuration is followed in any case, so that a withdrawn key does not depend on
	 * another router.
	 * @param watches whether it watches
	 */
	void watchServers(boolean watches);

	/**
	 * Save state that the fleet restores after a restart. A failed write is not repeated;
	 * the next state replaces it.
	 * @param state the state, JSON
	 */
	void save(byte[] state);

	/**
	 * Remove this router's own entry because it stops.
	 */
	void leave();

	/**
	 * How recent the known state of a directory is.
	 *
	 * @param config version of the newest configuration, 0 if none is known; versions
	 * rise across the eras of the directory
	 * @param known position up to which all changes of backend servers are known
	 * @param changed position of the newest change of a backend server that is known
	 * @param ageMs milliseconds since the last response of the directory
	 */
	record Freshness(long config, DirectoryPosition known, DirectoryPosition changed, long ageMs) {

		/**
		 * Return whether this state has changes that another one lacks.
		 * @param other the other state
		 * @return whether it has
		 */
		boolean hasMoreThan(Freshness other) {
			return this.config > other.config || this.changed.isAfter(other.known);
		}

	}

	/**
	 * Notified of changes, on the event loop.
	 */
	interface Listener {

		/**
		 * A saved state was read. Called after the start, once for each router that has
		 * saved a state.
		 * @param state the state, as passed to {@link Directory#save}
		 */
		void saved(byte[] state);

		/**
		 * A newer configuration was received.
		 * @param config the configuration
		 */
		void config(TrafficConfig config);

		/**
		 * The backend servers changed.
		 * @param servers all usable entries
		 */
		void servers(List<ServerEntry> servers);

		/**
		 * The evacuated failure domains were read. Called only if the settings enable
		 * evacuations.
		 * @param domains the domains and their position in the directory
		 * @param removed domains whose removal the directory reported
		 * @param by how they were read, for the log
		 */
		void evacuations(EvacuationSet domains, Set<String> removed, String by);

		/**
		 * This router was entered for the first time. Not called if the directory had an
		 * entry of it, which an earlier process leaves that was killed.
		 */
		void joined();

		/**
		 * The routers were listed.
		 * @param routers the endpoints at which all of them receive messages
		 */
		void routers(List<Endpoint> routers);

	}

	/**
	 * Creates the directory of a router.
	 */
	interface Factory {

		/**
		 * Create a directory.
		 * @param parts the parts of the router that it uses
		 * @return the directory, empty if the settings name none
		 */
		Optional<Directory> create(DirectoryParts parts);

	}

}
