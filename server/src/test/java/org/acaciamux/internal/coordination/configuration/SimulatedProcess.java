package org.acaciamux.internal.coordination.configuration;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

import com.codahale.metrics.MetricRegistry;

import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.coordination.membership.MemberTable;
import org.acaciamux.internal.coordination.membership.MembershipSettings;
import org.acaciamux.internal.protocol.FrameHandler;
import org.acaciamux.internal.protocol.PeerLink;
import org.acaciamux.internal.protocol.PeerLinks;
import org.acaciamux.internal.protocol.wire.Frame;
import org.acaciamux.internal.state.record.HeldRecord;
import org.acaciamux.internal.state.record.RecordKey;
import org.acaciamux.internal.state.record.RecordTable;

import static org.testng.Assert.assertTrue;

/**
 * One run of a simulated process, from its start until it is killed. Checks that no
 * record version in force goes back.
 */
final class SimulatedProcess implements FrameHandler {

	final RecordTable records = new RecordTable();

	final Map<RecordKey, Long> inForceVersions = new HashMap<>();

	final MetricRegistry metrics = new MetricRegistry();

	final MemberTable members;

	private final ConfigurationSync sync;

	private final VirtualTime time;

	private final String name;

	private boolean alive = true;

	SimulatedProcess(Member self, List<Member> seeds, FakePlatform platform, FakeNetwork network, VirtualTime time,
			Random random) {
		this.time = time;
		this.name = self.id();
		long incarnation = random.nextLong();
		PeerLinks links = network.join(self.id(), incarnation, this);
		this.members = new MemberTable(self.id(), MembershipSettings.defaults(), this::nanos, this.metrics);
		this.records.onChange(this::recordVersions);
		this.sync = new ConfigurationSync(ConfigurationSettings.defaults(self, seeds),
				new ConfigurationParts(this.records, this.members, platform.access(self.id()),
						platform.access(self.id()), links, this::nanos, time::nowMs, new Random(random.nextLong()),
						this.metrics, (task) -> time.after(0, () -> run(task))));
		tick();
	}

	private long nanos() {
		return this.time.nowMs() * 1_000_000;
	}

	private void run(Runnable task) {
		if (this.alive) {
			task.run();
		}
	}

	private void tick() {
		if (this.alive) {
			this.sync.tick();
			this.members.tick();
			this.time.after(100, this::tick);
		}
	}

	private void recordVersions(Set<RecordKey> keys) {
		for (RecordKey key : keys) {
			long version = this.records.held(key).orElseThrow().version();
			long before = this.inForceVersions.getOrDefault(key, 0L);
			assertTrue(version >= before, this.name + " went back from " + before + " to " + version + " of " + key);
			this.inForceVersions.put(key, version);
		}
	}

	@Override
	public void handle(PeerLink link, Frame frame) {
		if (this.alive) {
			this.sync.handle(link, frame);
		}
	}

	boolean ready() {
		return this.sync.ready();
	}

	ConfigurationSync sync() {
		return this.sync;
	}

	Map<RecordKey, Long> live() {
		return this.records.heldAfter(0)
			.stream()
			.filter((record) -> !record.deleted() && record.isFromObjectApi())
			.collect(Collectors.toMap(HeldRecord::key, HeldRecord::version));
	}

	void kill(FakeNetwork network) {
		this.alive = false;
		network.leave(this.name);
	}

}
