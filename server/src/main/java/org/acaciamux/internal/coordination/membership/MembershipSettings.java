package org.acaciamux.internal.coordination.membership;

/**
 * Times and bounds of membership. Immutable and thread-safe.
 *
 * @param suspectAfterMs how long a member is not heard from before it is suspect, in
 * milliseconds; counted up to the last view received from another process
 * @param retryAfterMs how long a member that could not be reached is not used, in
 * milliseconds
 * @param goneAfterMs how long a member is suspect before it is gone, in milliseconds
 * @param unlistedAfterMs how long a member that is not listed and not heard from is kept,
 * in milliseconds; covers the lag of the VM list
 * @param holdBaseMs how long a member is held out after its second loss, in milliseconds;
 * doubles with each further loss
 * @param holdMaxMs longest time a member is held out, in milliseconds
 * @param forgetAfterMs time without a loss after which earlier losses are forgotten, in
 * milliseconds
 * @param pastMembers most members whose losses are remembered
 * @param lossWindowMs time within which evidence about the own network is counted, in
 * milliseconds
 * @param lossMaxMs longest time for which the own network is considered lost while a
 * failure domain still answers, in milliseconds
 */
public record MembershipSettings(long suspectAfterMs, long retryAfterMs, long goneAfterMs, long unlistedAfterMs,
		long holdBaseMs, long holdMaxMs, long forgetAfterMs, int pastMembers, long lossWindowMs, long lossMaxMs) {

	/**
	 * Return the default settings.
	 * @return the settings
	 */
	public static MembershipSettings defaults() {
		return new MembershipSettings(3_000, 5_000, 60_000, 10_000, 1_000, 60_000, 300_000, 1_024, 5_000, 60_000);
	}

}
