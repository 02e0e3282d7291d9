package org.acaciamux.internal.coordination.configuration;

import java.util.List;

import org.acaciamux.internal.coordination.membership.Member;

/**
 * Settings of the replication of records. Immutable and thread-safe.
 *
 * @param self this process
 * @param seeds processes to ask at start when the VM list cannot be read; may be empty
 * @param digestIntervalMs time between two comparisons with the parent, in milliseconds;
 * varied by up to a quarter
 * @param answerTimeoutMs how long to wait for the answer of a peer, in milliseconds
 * @param peerRetryMs how long a peer that did not answer is not asked, in milliseconds
 * @param watchTimeoutMs longest time a watch waits for changes at the platform, in
 * milliseconds
 * @param vmListIntervalMs time between two reads of the VM list by a watcher, in
 * milliseconds; varied by up to a quarter
 * @param statusIntervalMs shortest time between two writes of the fleet status, in
 * milliseconds
 * @param freshMs age of the last confirmation by the platform up to which records count
 * as confirmed, in milliseconds; must be longer than a watch
 * @param startGraceMs time at start before all known peers are asked, in milliseconds
 * @param tombstoneRetentionMs how long a deletion is remembered, in milliseconds; a
 * process that lagged for longer must compare full listings
 */
public record ConfigurationSettings(Member self, List<Member> seeds, long digestIntervalMs, long answerTimeoutMs,
		long peerRetryMs, long watchTimeoutMs, long vmListIntervalMs, long statusIntervalMs, long freshMs,
		long startGraceMs, long tombstoneRetentionMs) {

	public ConfigurationSettings {
		seeds = List.copyOf(seeds);
	}

	/**
	 * Return the default settings.
	 * @param self this process
	 * @param seeds processes to ask at start
	 * @return the settings
	 */
	public static ConfigurationSettings defaults(Member self, List<Member> seeds) {
		return new ConfigurationSettings(self, seeds, 2_000, 1_500, 5_000, 5_000, 2_000, 2_000, 10_000, 3_000,
				3_600_000);
	}

}
