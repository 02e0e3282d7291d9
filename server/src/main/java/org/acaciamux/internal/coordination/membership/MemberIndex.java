package org.acaciamux.internal.coordination.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.acaciamux.internal.coordination.platform.VmDirectory.VmEntry;

/**
 * Index of the members for lock-free reads. Invariant: lists hold no member that is gone.
 * Reads take no lock; {@link MemberTable} makes all changes under its lock. Thread-safe.
 */
final class MemberIndex {

	private final Map<String, Member> members = new ConcurrentHashMap<>();

	private volatile Ids ids = new Ids(Map.of(), List.of());

	/**
	 * Rebuild the ids by pool and role. Needed only when the set of known VMs changes.
	 * @param vms the VMs ordered by id
	 */
	void rebuild(Collection<VmEntry> vms) {
		Map<String, List<String>> agents = new HashMap<>();
		List<String> routers = new ArrayList<>();
		for (VmEntry vm : vms) {
			boolean router = Member.ROUTER.equals(vm.role());
			(router ? routers : agents.computeIfAbsent(vm.pool(), (pool) -> new ArrayList<>())).add(vm.id());
		}
		this.ids = new Ids(agents, routers);
	}

	void put(Member member) {
		if (!member.equals(this.members.get(member.id()))) {
			this.members.put(member.id(), member);
		}
	}

	void remove(String id) {
		this.members.remove(id);
	}

	List<Member> agents(String pool) {
		return findAll(this.ids.agents.getOrDefault(pool, List.of()));
	}

	List<Member> routers() {
		return findAll(this.ids.routers);
	}

	List<Member> all() {
		return findAll(new TreeMap<>(this.members).keySet());
	}

	private List<Member> findAll(Collection<String> ids) {
		List<Member> found = new ArrayList<>(ids.size());
		for (String id : ids) {
			find(id).ifPresent(found::add);
		}
		return List.copyOf(found);
	}

	Optional<Member> find(String id) {
		return Optional.ofNullable(this.members.get(id)).filter((member) -> member.state() != MemberState.GONE);
	}

	int count(MemberState state) {
		return (int) this.members.values().stream().filter((member) -> member.state() == state).count();
	}

	ObjectNode dump() {
		ObjectNode dump = JsonNodeFactory.instance.objectNode();
		new TreeMap<>(this.members).forEach((id, member) -> dump.putObject(id)
			.put("state", member.state().name())
			.put("pool", member.pool())
			.put("failureDomain", member.failureDomain())
			.put("load", member.load()));
		return dump;
	}

	/**
	 * Ids by pool and role.
	 *
	 * @param agents ids of agents by pool, ordered
	 * @param routers ids of routers, ordered
	 */
	private record Ids(Map<String, List<String>> agents, List<String> routers) {
	}

}
