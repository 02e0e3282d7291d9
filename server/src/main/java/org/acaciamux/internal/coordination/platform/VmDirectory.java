package org.acaciamux.internal.coordination.platform;

import java.util.List;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;

/**
 * The platform's list of VMs, which lags behind the actual state of the VMs.
 * Implementations are thread-safe.
 */
public interface VmDirectory {

	/**
	 * Read the list.
	 * @return the list or the failure
	 */
	CompletionStage<Either<StoreFailure, VmList>> list();

	/**
	 * The VMs at a revision of the list.
	 *
	 * @param revision the revision of the list, which increases with each change
	 * @param vms the VMs
	 */
	record VmList(long revision, List<VmEntry> vms) {

		public VmList {
			vms = List.copyOf(vms);
		}

	}

	/**
	 * One VM.
	 *
	 * @param id the VM's id
	 * @param role {@code router} or {@code agent}
	 * @param address the IP address
	 * @param peerPort the port for connections between processes
	 * @param httpPort the port for callers, 0 for agents
	 * @param region the region
	 * @param failureDomain the failure domain
	 * @param pool the pool, empty for routers
	 * @param leaving whether the VM is about to be removed
	 */
	record VmEntry(String id, String role, String address, int peerPort, int httpPort, String region,
			String failureDomain, String pool, boolean leaving) {
	}

}
