package org.acaciamux.internal.coordination.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

import org.acaciamux.internal.coordination.platform.VmDirectory.VmEntry;

/**
 * Converts the VMs of a region to the value of a {@code VmList} record and back. Each VM
 * is an array without field names, which would double the size. Holds no state;
 * thread-safe.
 */
final class VmListCodec {

	private static final int FIELDS = 9;

	private VmListCodec() {
	}

	static JsonNode encode(List<VmEntry> vms) {
		ArrayNode all = JsonNodeFactory.instance.arrayNode();
		for (VmEntry vm : vms) {
			all.addArray()
				.add(vm.id())
				.add(vm.role())
				.add(vm.address())
				.add(vm.peerPort())
				.add(vm.httpPort())
				.add(vm.region())
				.add(vm.failureDomain())
				.add(vm.pool())
				.add(vm.leaving());
		}
		return all;
	}

	/**
	 * Read the VMs. Fields that a newer version appended are ignored.
	 * @param value the value of the record
	 * @return the VMs, or empty if the value is malformed
	 */
	static Optional<List<VmEntry>> decode(JsonNode value) {
		if (!value.isArray()) {
			return Optional.empty();
		}
		List<VmEntry> vms = new ArrayList<>();
		for (JsonNode vm : value) {
			if (!vm.isArray() || vm.size() < FIELDS) {
				return Optional.empty();
			}
			vms.add(new VmEntry(vm.get(0).asText(), vm.get(1).asText(), vm.get(2).asText(), vm.get(3).asInt(),
					vm.get(4).asInt(), vm.get(5).asText(), vm.get(6).asText(), vm.get(7).asText(),
					vm.get(8).asBoolean()));
		}
		return Optional.of(vms);
	}

}
