package org.acaciamux.internal.coordination.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

import com.codahale.metrics.MetricRegistry;

import org.acaciamux.internal.coordination.configuration.FakeNetwork;
import org.acaciamux.internal.coordination.configuration.VirtualTime;
import org.acaciamux.internal.coordination.platform.VmDirectory.VmEntry;
import org.acaciamux.internal.coordination.platform.VmDirectory.VmList;
import org.acaciamux.internal.protocol.PeerLinks;
import org.acaciamux.internal.protocol.wire.SuspectEntry;

/**
 * Simulates the agents of one pool and one router on a virtual clock and network, with
 * real exchanges and member tables.
 */
final class SimulatedPool {

	static final String POOL = "plans";

	static final String ROUTER = "r0";

	final VirtualTime time = new VirtualTime();

	final Random random;

	final FakeNetwork network;

	final List<VmEntry> vms = new ArrayList<>();

	final Map<String, Process> processes = new TreeMap<>();

	SimulatedPool(long seed, int agents, int domains) {
		this.random = new Random(seed);
		this.network = new FakeNetwork(this.time, this.random);
		this.vms.add(vm(ROUTER, Member.ROUTER, "", "d0", false));
		for (int i = 0; i < agents; i++) {
			this.vms.add(vm("a" + i, Member.AGENT, POOL, "d" + i % domains, false));
		}
		this.vms.forEach((vm) -> start(vm.id()));
	}

	static VmEntry vm(String id, String role, String pool, String domain, boolean leaving) {
		return new VmEntry(id, role, "127.0.0.1", 1, 0, "tw-north", domain, pool, leaving);
	}

	void start(String id) {
		this.processes.put(id, new Process(entry(id)));
	}

	void stop(String id) {
		Process process = this.processes.remove(id);
		process.alive = false;
		this.network.leave(id);
	}

	VmEntry entry(String id) {
		return this.vms.stream().filter((vm) -> vm.id().equals(id)).findFirst().orElseThrow();
	}

	/** Gives a VM list that marks a VM as leaving, to one process only. */
	void listAsLeaving(String informed, String leaving) {
		List<VmEntry> list = this.vms.stream()
			.map((vm) -> vm.id().equals(leaving) ? vm(vm.id(), vm.role(), vm.pool(), vm.failureDomain(), true) : vm)
			.toList();
		this.processes.get(informed).members.vmList("all", new VmList(2, list));
	}

	/** Cuts a process off from all others. */
	void isolate(String id) {
		this.vms.stream().filter((vm) -> !vm.id().equals(id)).forEach((vm) -> this.network.cut(id, vm.id()));
	}

	MemberState state(String observer, String id) {
		return this.processes.get(observer).members.find(id).map(Member::state).orElse(MemberState.GONE);
	}

	/**
	 * One process with its member table, and with the load exchange of an agent or the
	 * pool views of a router.
	 */
	final class Process implements LocalAgentState {

		final MemberTable members;

		final MetricRegistry metrics = new MetricRegistry();

		final PoolViews views;

		final LoadExchange exchange;

		final List<SuspectEntry> merged = new ArrayList<>();

		List<SuspectEntry> suspects = List.of();

		int load;

		private boolean alive = true;

		Process(VmEntry vm) {
			VirtualTime clock = SimulatedPool.this.time;
			long incarnation = SimulatedPool.this.random.nextLong();
			this.members = new MemberTable(vm.id(), MembershipSettings.defaults(), () -> clock.nowMs() * 1_000_000,
					this.metrics);
			this.members.vmList("all", new VmList(1, SimulatedPool.this.vms));
			PeerLinks links = SimulatedPool.this.network.join(vm.id(), incarnation, (link, frame) -> {
				if (vm.role().equals(Member.AGENT)) {
					this.exchange().handle(link, frame);
				}
				else {
					this.views().handle(link, frame);
				}
			});
			ExchangeParts parts = new ExchangeParts(links, () -> clock.nowMs() * 1_000_000,
					new Random(SimulatedPool.this.random.nextLong()), this.metrics,
					(task) -> clock.after(0, () -> run(task)));
			this.views = new PoolViews(ExchangeSettings.defaults(), this.members, parts);
			this.views.use(POOL);
			Member self = this.members.find(vm.id()).orElseThrow();
			this.exchange = new LoadExchange(self, incarnation, ExchangeSettings.defaults(), this, this.members, parts);
			tick(vm.role().equals(Member.AGENT));
		}

		private LoadExchange exchange() {
			return this.exchange;
		}

		private PoolViews views() {
			return this.views;
		}

		private void run(Runnable task) {
			if (this.alive) {
				task.run();
			}
		}

		private void tick(boolean agent) {
			if (!this.alive) {
				return;
			}
			if (agent) {
				this.exchange.tick();
			}
			else {
				this.views.tick();
			}
			this.members.tick();
			SimulatedPool.this.time.after(100, () -> tick(agent));
		}

		@Override
		public int load() {
			return this.load;
		}

		@Override
		public int queued() {
			return 0;
		}

		@Override
		public boolean leaving() {
			return this.exchange.toldLeaving();
		}

		@Override
		public boolean backendDown() {
			return false;
		}

		@Override
		public List<SuspectEntry> suspects() {
			return this.suspects;
		}

		@Override
		public void mergeSuspects(List<SuspectEntry> entries) {
			this.merged.addAll(entries);
		}

	}

}
