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
 * Spreads records from the platform to this process and on to others, through the tree of
 * {@link ConfigurationTree}. Everything runs as serial tasks; frames and answers are only
 * queued by the threads that deliver them. Thread-safe.
 */
public final class ConfigurationSync implements FrameHandler {

	/**
	 * Frames that may wait; more are dropped, and the next comparison makes up for them.
	 */
	private static final int WAITING_FRAMES = 4_096;

	/** A process keeps watching for this long after it lost its place as a watcher. */
	private static final long KEEP_WATCHING_MS = 30_000;

	/** Time between two comparisons with another peer while the platform is not heard. */
	private static final long STALE_ASK_MS = 10_000;

	/** Time after which a process that is not ready lists the platform itself. */
	private static final long LIST_MYSELF_MS = 20_000;

	private final ConfigurationSettings settings;

	private final ConfigurationParts parts;

	private final SerialTasks tasks;

	private final SyncState state;

	private final PlatformSync platform;

	private final PeerSync peers;

	private final OutageStart start;

	private final FleetStatusWriter status;

	private final FleetAggregate aggregate;

	private final Counter dropped;

	private volatile Supplier<FleetReport> work = FleetReport::getDefaultInstance;

	private Optional<Member> reportedTo = Optional.empty();

	private ConfigurationTree tree;

	private boolean watching;

	private long watcherUntilMs = Long.MIN_VALUE / 2;

	private long nextTreeMs;

	private long nextAskMs;

	private long nextStaleAskMs;

	private long nextOwnListMs;

	private long nextExpiryMs;

	/**
	 * Create the spread. It does nothing until {@link #tick()} is called.
	 * @param settings the settings
	 * @param parts what it works with
	 */
	public ConfigurationSync(ConfigurationSettings settings, ConfigurationParts parts) {
		this.settings = settings;
		this.parts = parts;
		this.tasks = new SerialTasks(parts.executor(), WAITING_FRAMES);
		this.state = new SyncState(settings, parts, this.tasks);
		this.platform = new PlatformSync(this.state);
		this.peers = new PeerSync(this.state);
		this.start = new OutageStart(this.state, this.peers);
		this.status = new FleetStatusWriter(this.state);
		this.aggregate = new FleetAggregate(4 * settings.digestIntervalMs());
		this.state.onApplied(this.peers::changed);
		this.peers.onUpdate(this.start::answered);
		this.tree = ConfigurationTree.of(settings.self(), List.of());
		long now = this.state.nowMs();
		this.nextAskMs = now + parts.random().nextLong(200);
		this.nextOwnListMs = now + this.state.jittered(LIST_MYSELF_MS);
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
	 * Return whether this process holds records that it may work with. Once true, it
	 * stays true.
	 * @return whether the process is ready as far as records are concerned
	 */
	public boolean ready() {
		return this.state.ready();
	}

	/**
	 * Set what this process reports about its work.
	 * @param work returns pools, backlog and control bytes of this process; other fields
	 * are overwritten. Called without a lock other than that of the serial tasks
	 */
	public void reportWork(Supplier<FleetReport> work) {
		this.work = work;
	}

	/**
	 * Move on with time. Called about every 100 ms.
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
			stepStart(now);
		}
		if (now >= this.nextAskMs) {
			this.nextAskMs = now + this.state.jittered(this.settings.digestIntervalMs());
			askParent();
		}
		if (now >= this.nextStaleAskMs && this.state.confirmedAgeMs() > this.settings.freshMs()) {
			this.nextStaleAskMs = now + this.state.jittered(STALE_ASK_MS);
			askAnyone();
		}
		if (writesStatus()) {
			this.status.tick(report());
		}
		if (now >= this.nextExpiryMs) {
			this.nextExpiryMs = now + this.settings.tombstoneRetentionMs() / 60 + 1;
			this.parts.records().expireTombstones(now, this.settings.tombstoneRetentionMs());
		}
	}

	private void stepStart(long now) {
		this.start.tick();
		if (now >= this.nextOwnListMs) {
			this.nextOwnListMs = now + this.state.jittered(LIST_MYSELF_MS);
			this.platform.listOnce();
		}
	}

	private void updateTree(long now) {
		if (now < this.nextTreeMs) {
			return;
		}
		this.nextTreeMs = now + this.settings.digestIntervalMs() / 4;
		this.tree = ConfigurationTree.of(this.settings.self(), this.state.knownPeers());
		// Without a VM list every process would take itself for a watcher.
		boolean placed = !this.parts.members().all().isEmpty();
		if (placed && this.tree.watcher()) {
			this.watcherUntilMs = now + KEEP_WATCHING_MS;
		}
		boolean watches = now < this.watcherUntilMs;
		if (watches != this.watching) {
			this.watching = watches;
			EventLog.log(ConfigurationEvent.WATCHER_ROLE, watches, this.tree.position(),
					this.settings.self().failureDomain());
		}
	}

	private void askParent() {
		List<Member> parents = new ArrayList<>(this.tree.parents());
		if (this.tree.watcher() && this.state.confirmedAgeMs() > this.settings.freshMs()) {
			Collections.rotate(parents, this.parts.random().nextInt(parents.size() + 1));
		}
		Optional<Member> parent = this.peers.firstUsable(parents);
		parent.ifPresent(this.peers::ask);
		reportTo(parent.filter(this::collectsReports));
	}

	private boolean collectsReports(Member parent) {
		return !this.tree.watcher() || (this.tree.position() > 0 && sameDomain(parent));
	}

	// An earlier parent is told to forget this process, which would otherwise be counted
	// twice and with an old revision until the report expires.
	private void reportTo(Optional<Member> target) {
		this.reportedTo.filter((earlier) -> target.filter((now) -> now.id().equals(earlier.id())).isEmpty())
			.ifPresent((earlier) -> sendReport(earlier, FleetReport.getDefaultInstance()));
		this.reportedTo = target;
		target.ifPresent((parent) -> sendReport(parent, report()));
	}

	private void sendReport(Member parent, FleetReport report) {
		this.state.send(parent, Frame.newBuilder().setFleetReport(report).build(), ignored());
	}

	private boolean sameDomain(Member parent) {
		return parent.failureDomain().equals(this.settings.self().failureDomain());
	}

	private static <T> Consumer<T> ignored() {
		return (failure) -> {
		};
	}

	// While the platform is not heard, records may be newer elsewhere in the fleet than
	// at the parent.
	private void askAnyone() {
		List<Member> peers = this.state.knownPeers()
			.stream()
			.filter((peer) -> !this.peers.failedLately(peer.id()))
			.toList();
		if (!peers.isEmpty()) {
			this.peers.ask(peers.get(this.parts.random().nextInt(peers.size())));
		}
	}

	private boolean writesStatus() {
		if (!this.state.ready() || !this.tree.watcher()) {
			return false;
		}
		return this.tree.position() == 0 || this.peers.failedLately(this.tree.parents().get(0).id());
	}

	private FleetReport report() {
		RecordTable records = this.parts.records();
		FleetReport own = this.work.get()
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
		boolean taken = switch (frame.getBodyCase()) {
			case CONFIG_DIGEST -> this.tasks.offer(() -> this.peers.digest(link, frame.getConfigDigest()));
			case CONFIG_PULL -> this.tasks.offer(() -> this.peers.pulled(link, frame.getConfigPull()));
			case CONFIG_UPDATE -> this.tasks.offer(() -> this.peers.update(link, frame.getConfigUpdate()));
			case FLEET_REPORT -> this.tasks
				.offer(() -> this.aggregate.report(link.peer().id(), frame.getFleetReport(), this.state.nowMs()));
			default -> true;
		};
		if (!taken) {
			this.dropped.inc();
			EventLog.log(ConfigurationEvent.FRAMES_DROPPED, link.peer().id(), WAITING_FRAMES);
		}
	}

	/**
	 * Return the state for the admin port.
	 * @return readiness, place in the tree, revisions and unreadable records
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
