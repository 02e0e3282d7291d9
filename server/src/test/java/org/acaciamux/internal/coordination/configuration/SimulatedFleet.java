package org.acaciamux.internal.coordination.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Predicate;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.coordination.membership.MemberState;
import org.acaciamux.internal.coordination.platform.StoredObject;
import org.acaciamux.internal.coordination.platform.VmDirectory.VmEntry;
import org.acaciamux.internal.coordination.platform.VmDirectory.VmList;
import org.acaciamux.internal.state.record.RecordKey;
import org.acaciamux.internal.state.record.RecordKinds;

/**
 * Simulates a few processes, a platform and a network on one virtual clock.
 */
final class SimulatedFleet {

	final VirtualTime time = new VirtualTime();

	final Random random;

	final FakePlatform platform;

	final FakeNetwork network;

	final Map<String, Member> members = new TreeMap<>();

	final Map<String, SimulatedProcess> processes = new TreeMap<>();

	SimulatedFleet(long seed, int size, int domains) {
		this.random = new Random(seed);
		this.platform = new FakePlatform(this.time, this.random);
		this.network = new FakeNetwork(this.time, this.random);
		List<VmEntry> vms = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			VmEntry vm = new VmEntry("vm" + i, Member.AGENT, "127.0.0.1", 1, 0, "tw-north", "d" + i % domains, "plans",
					false);
			vms.add(vm);
			this.members.put(vm.id(), new Member(vm.id(), vm.role(), vm.address(), 1, vm.region(), vm.failureDomain(),
					vm.pool(), MemberState.JOINING, -1));
		}
		this.platform.vms = new VmList(1, vms);
		this.members.keySet().forEach(this::start);
	}

	void start(String id) {
		List<Member> seeds = new ArrayList<>(this.members.values());
		seeds.remove(this.members.get(id));
		this.processes.put(id,
				new SimulatedProcess(this.members.get(id), seeds, this.platform, this.network, this.time, this.random));
	}

	void restart(String id) {
		this.processes.remove(id).kill(this.network);
		start(id);
	}

	void stop(String id) {
		this.processes.remove(id).kill(this.network);
	}

	void outage(boolean down) {
		this.platform.down = down;
		this.platform.vmsDown = down;
	}

	void cutOff(String id, Predicate<String> others) {
		this.members.keySet()
			.stream()
			.filter((other) -> !other.equals(id) && others.test(other))
			.forEach((other) -> this.network.cut(id, other));
	}

	/** Cuts a process off from its peers and from the platform. */
	void isolate(String id) {
		cutOff(id, (other) -> true);
		this.platform.blocked.add(id);
	}

	/**
	 * Write an organisation record to the platform, as an operator does.
	 * @return the version written
	 */
	long write(String name, int weight) {
		return change(name, Optional.of(recordValue(RecordKinds.ORGANISATION, name, weight)));
	}

	long delete(String name) {
		return change(name, Optional.empty());
	}

	private long change(String name, Optional<JsonNode> value) {
		StoredObject old = this.platform.objects.get(new RecordKey(RecordKinds.ORGANISATION, name));
		long version = (old != null) ? old.version() : 0;
		return this.platform.write(RecordKinds.ORGANISATION, name, version, value).get().version();
	}

	static ObjectNode recordValue(String kind, String name, int weight) {
		ObjectNode recordValue = JsonNodeFactory.instance.objectNode()
			.put("apiVersion", "acaciamux/v1")
			.put("kind", kind)
			.put("name", name);
		recordValue.putObject("spec").put("weight", weight);
		return recordValue;
	}

	int weight(String process, String organisation) {
		return this.processes.get(process).records.organisation(organisation).weight();
	}

	boolean allHaveWeight(String organisation, int weight) {
		return this.processes.keySet().stream().allMatch((id) -> weight(id, organisation) == weight);
	}

	/**
	 * List the processes that regard themselves as watchers.
	 */
	List<String> watchers() {
		return this.processes.keySet()
			.stream()
			.filter((id) -> this.processes.get(id).sync().dump().get("watching").asBoolean())
			.toList();
	}

	Map<RecordKey, Long> stored() {
		Map<RecordKey, Long> stored = new HashMap<>();
		this.platform.objects.forEach((key, object) -> {
			if (RecordKinds.WATCHED.contains(key.kind())) {
				stored.put(key, object.version());
			}
		});
		return stored;
	}

}
