package org.acaciamux;

/**
 * Entry point of {@code acaciamuxd}. Holds no state.
 */
public final class DaemonMain {

	private DaemonMain() {
	}

	/**
	 * Start the daemon.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		System.exit(2);
	}

}
