package org.acaciamux.internal.state.record;

import java.util.List;

/**
 * The kinds of records that are distributed to every process. Holds constants only.
 */
public final class RecordKinds {

	/** Settings of a pool, written by operators. */
	public static final String BACKEND_POOL = "BackendPool";

	/** Settings of an organisation, written by operators. */
	public static final String ORGANISATION = "Organisation";

	/** Settings of a priority, written by operators. */
	public static final String PRIORITY = "Priority";

	/** Owner of a partition of a pool's idempotency keys, written by agents. */
	public static final String CLAIM_PARTITION = "ClaimPartition";

	/**
	 * The platform's VM list, one record per region. Its versions come from the VM list's
	 * own counter and are not comparable with those of the other kinds.
	 */
	public static final String VM_LIST = "VmList";

	/** The kinds that are watched in the platform's object API. */
	public static final List<String> WATCHED = List.of(BACKEND_POOL, ORGANISATION, PRIORITY, CLAIM_PARTITION);

	private RecordKinds() {
	}

}
