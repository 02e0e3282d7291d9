package org.acaciamux.internal.coordination.configuration;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.event.EventLog;
import org.acaciamux.internal.protocol.FrameHandler;
import org.acaciamux.internal.protocol.PeerLink;
import org.acaciamux.internal.protocol.wire.FleetReport;
import org.acaciamux.internal.protocol.wire.Frame;
import org.acaciamux.internal.state.SerialTasks;
import org.acaciamux.internal.state.record.RecordTable;

/**
 * Replicates records from the platform to this process and from there to other processes
 * along the {@link ConfigurationTree}. All work runs as serial tasks; threads that
 * deliver frames and answers only queue them. Thread-safe.
 */
public final class ConfigurationSync implements FrameHandler {

	/**
	 * Most frames that wait to be handled. Further ones are dropped; the next comparison
	 * with a peer makes up for them.
	 */
	private static final int MAX_WAITING_FRAMES = 4_096;

	/**
	 * Time for which a process keeps watching after it is no longer a watcher in the
	 * tree.
	 */
	private static final long KEEP_WATCHING_MS = 30_000;

	/** Time between two comparisons with a random peer while records are unconfirmed. */
	private static final long RANDOM_COMPARE_MS = 10_000;

	/**
	 * Time until a process that is not ready lists the platform itself, and between two
	 * such listings.
	 */
	private static final long DIRECT_LIST_MS = 20_000;

	private final ConfigurationSettings settings;

	private final ConfigurationParts parts;

	private final SerialTasks tasks;

	private final SyncState state;

	private final PlatformSync platform;

	private final PeerSync peers;

	private final OutageStart outageStart;

	private final FleetStatusWriter status;

	private final FleetAggregate aggregate;

	private final Counter dropped;

	private volatile Supplier<FleetReport> workReport = FleetReport::getDefaultInstance;

	private Optional<Member> reportedTo = Optional.empty();

	private ConfigurationTree tree;

	private boolean watching;

	private long watcherUntilMs = Long.MIN_VALUE / 2;

	private long nextTreeMs;

	private long nextCompareMs;

	private long nextRandomCompareMs;

	private long nextDirectListMs;

	private long nextExpiryMs;

	/**
	 * Create the synchronization. It does nothing until {@link #tick()} is called.
	 * @param settings times, bounds and seeds
	 * @param parts the objects that it uses
	 */
	public ConfigurationSync(ConfigurationSettings settings, ConfigurationParts parts) {
		this.settings = settings;
		this.parts = parts;
		this.tasks = new SerialTasks(parts.executor(), MAX_WAITING_FRAMES);
		this.state = new SyncState(settings, parts, this.tasks);
		this.platform = new PlatformSync(this.state);
		this.peers = new PeerSync(this.state);
		this.outageStart = new OutageStart(this.state, this.peers);
		this.status = new FleetStatusWriter(this.state);
		this.aggregate = new FleetAggregate(4 * settings.digestIntervalMs());
		this.state.onApplied(this.peers::enqueuePush);
		this.peers.onUpdate(this.outageStart::handleAnswer);
		this.tree = ConfigurationTree.of(settings.self(), List.of());
		long now = this.state.nowMs();
		this.nextCompareMs = now + parts.random().nextLong(200);
		this.nextDirectListMs = now + this.state.withJitter(DIRECT_LIST_MS);
		this.dropped = registerMetrics(parts.metrics());
	}

	private Counter registerMetrics(MetricRegistry metrics) {
		RecordTable records = this.parts.records();
		metrics.gauge("acaciamux.configuration.revision", () -> (Gauge<Long>) records::completeRevision);
		metrics.gauge("acaciamux.configuration.inForceRevision", () -> (Gauge<Long>) records::inForceRevision);
		metrics.gauge("acaciamux.configuration.unreadable", () -> (Gauge<Integer>) () -> records.unreadable().size());
		metrics.gauge("acaciamux.configuration.ready", () -> (Gauge<Integer>) () -> ready() ? 1 : 0);
		metrics.gauge("acaciamux.configuration.confirmedAgeMs",
				() -> (Gauge<Long>) () -> this.tasks.get(this.state::confirmedAgeMs));
		return metrics.counter("acaciamux.configuration.droppedFrames");
	}

	/**
	 * Return whether this process holds records that are recent enough to work with. Once
	 * true, it stays true.
	 * @return whether the process is ready as far as records are concerned
	 */
	public boolean ready() {
		return this.state.ready();
	}

	/**
	 * Set the source of what this process reports about its work.
	 * @param workReport returns pools, backlog and control bytes of this process; other
	 * fields are overwritten. Called without a lock other than that of the serial tasks
	 */
	public void reportWork(Supplier<FleetReport> workReport) {
		this.workReport = workReport;
	}

	/**
	 * Do the work that is due. Called about every 100 ms.
	 */
	public void tick() {
		this.tasks.offer(this::step);
	}

	private void step() {
		long now = this.state.nowMs();
		updateTree(now);
		this.platform.tick(this.watching);
		this.peers.tick();
		if (!this.state.ready()) {
			stepUntilReady(now);
		}
		if (now >= this.nextCompareMs) {
			this.nextCompareMs = now + this.state.withJitter(this.settings.digestIntervalMs());
			compareWithParent();
		}
		if (now >= this.nextRandomCompareMs && this.state.confirmedAgeMs() > this.settings.freshMs()) {
			this.nextRandomCompareMs = now + this.state.withJitter(RANDOM_COMPARE_MS);
			compareWithRandomPeer();
		}
		if (writesStatus()) {
			this.status.tick(report());
		}
		if (now >= this.nextExpiryMs) {
			this.nextExpiryMs = now + this.settings.tombstoneRetentionMs() / 60 + 1;
			this.parts.records().expireTombstones(now, this.settings.tombstoneRetentionMs());
		}
	}

	private void stepUntilReady(long now) {
		this.outageStart.tick();
		if (now >= this.nextDirectListMs) {
			this.nextDirectListMs = now + this.state.withJitter(DIRECT_LIST_MS);
			this.platform.listOnce();
		}
	}

	private void updateTree(long now) {
		if (now < this.nextTreeMs) {
			return;
		}
		this.nextTreeMs = now + this.settings.digestIntervalMs() / 4;
		this.tree = ConfigurationTree.of(this.settings.self(), this.state.knownPeers());
		// Without a VM list every process would regard itself as a watcher.
		boolean vmsKnown = !this.parts.members().all().isEmpty();
		if (vmsKnown && this.tree.isWatcher()) {
			this.watcherUntilMs = now + KEEP_WATCHING_MS;
		}
		boolean watches = now < this.watcherUntilMs;
		if (watches != this.watching) {
			this.watching = watches;
			EventLog.log(ConfigurationEvent.WATCHER_ROLE, watches, this.tree.position(),
					this.settings.self().failureDomain());
		}
	}

	private void compareWithParent() {
		List<Member> parents = new ArrayList<>(this.tree.parents());
		if (this.tree.isWatcher() && this.state.confirmedAgeMs() > this.settings.freshMs()) {
			Collections.rotate(parents, this.parts.random().nextInt(parents.size() + 1));
		}
		Optional<Member> parent = this.peers.firstUsable(parents);
		parent.ifPresent(this.peers::compareWith);
		reportTo(parent.filter(this::collectsReports));
	}

	private boolean collectsReports(Member parent) {
		return !this.tree.isWatcher() || (this.tree.position() > 0 && sameDomain(parent));
	}

	// Withdraws the report from an earlier parent; otherwise this process would be
	// counted twice, and with an old revision, until that report expires.
	private void reportTo(Optional<Member> target) {
		this.reportedTo.filter((earlier) -> target.filter((now) -> now.id().equals(earlier.id())).isEmpty())
			.ifPresent((earlier) -> sendReport(earlier, FleetReport.getDefaultInstance()));
		this.reportedTo = target;
		target.ifPresent((parent) -> sendReport(parent, report()));
	}

	private void sendReport(Member parent, FleetReport report) {
		this.state.send(parent, Frame.newBuilder().setFleetReport(report).build(), ignoreFailure());
	}

	private boolean sameDomain(Member parent) {
		return parent.failureDomain().equals(this.settings.self().failureDomain());
	}

	private static <T> Consumer<T> ignoreFailure() {
		return (failure) -> {
		};
	}

	// While the platform has not confirmed the records, another process may hold newer
	// ones than the parent.
	private void compareWithRandomPeer() {
		List<Member> peers = this.state.knownPeers()
			.stream()
			.filter((peer) -> !this.peers.failedRecently(peer.id()))
			.toList();
		if (!peers.isEmpty()) {
			this.peers.compareWith(peers.get(this.parts.random().nextInt(peers.size())));
		}
	}

	private boolean writesStatus() {
		if (!this.state.ready() || !this.tree.isWatcher()) {
			return false;
		}
		return this.tree.position() == 0 || this.peers.failedRecently(this.tree.parents().get(0).id());
	}

	private FleetReport report() {
		RecordTable records = this.parts.records();
		FleetReport own = this.workReport.get()
			.toBuilder()
			.setFailureDomain(this.settings.self().failureDomain())
			.setLowestRevision(records.inForceRevision())
			.setHighestRevision(records.completeRevision())
			.setProcesses(1)
			.setLaggard(this.settings.self().id())
			.build();
		return this.aggregate.sum(own, this.state.nowMs());
	}

	@Override
	public void handle(PeerLink link, Frame frame) {
		boolean queued = switch (frame.getBodyCase()) {
			case CONFIG_DIGEST -> this.tasks.offer(() -> this.peers.handleDigest(link, frame.getConfigDigest()));
			case CONFIG_PULL -> this.tasks.offer(() -> this.peers.handlePull(link, frame.getConfigPull()));
			case CONFIG_UPDATE -> this.tasks.offer(() -> this.peers.handleUpdate(link, frame.getConfigUpdate()));
			case FLEET_REPORT -> this.tasks
				.offer(() -> this.aggregate.store(link.peer().id(), frame.getFleetReport(), this.state.nowMs()));
			default -> true;
		};
		if (!queued) {
			this.dropped.inc();
			EventLog.log(ConfigurationEvent.FRAMES_DROPPED, link.peer().id(), MAX_WAITING_FRAMES);
		}
	}

	/**
	 * Return the state for the admin port.
	 * @return readiness, position in the tree, revisions and unreadable records
	 */
	public ObjectNode dump() {
		return this.tasks.get(() -> {
			RecordTable records = this.parts.records();
			ObjectNode dump = JsonNodeFactory.instance.objectNode()
				.put("ready", ready())
				.put("watching", this.watching)
				.put("position", this.tree.position())
				.put("children", this.peers.children())
				.put("platformLost", this.platform.lost())
				.put("confirmedAgeMs", this.state.confirmedAgeMs())
				.put("completeRevision", records.completeRevision())
				.put("inForceRevision", records.inForceRevision());
			this.tree.parents().stream().limit(3).map(Member::id).forEach(dump.withArrayProperty("parents")::add);
			records.unreadable()
				.forEach((record) -> dump.withArrayProperty("unreadable")
					.addObject()
					.put("record", record.key().toString())
					.put("version", record.version())
					.put("inForceVersion", record.inForceVersion())
					.put("problems", record.problems().toString()));
			return dump;
		});
	}

}
