package org.acaciamux.internal.coordination.admission;

import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;

import org.acaciamux.internal.coordination.admission.Backend.Health;
import org.acaciamux.internal.event.EventLog;

/**
 * Decides from probes, refused connections and broken responses whether the backend
 * server is up, and whether it crashed. Invariants: a probe that was sent before a
 * response broke off does not count as evidence about that failure; each crash is
 * reported once. Not thread-safe.
 *
 * @param <T> the type of the requests in flight
 */
final class BackendHealth<T> {

	/** Interval between probes of a server that is up. */
	static final long UP_PROBE_MS = 1_000;

	/** Interval between probes of a server that is down or being checked. */
	static final long DOWN_PROBE_MS = 200;

	/**
	 * Unanswered probes after which a server counts as down; an answer resets the count.
	 * Probes that wait at the same time see one pause and count once.
	 */
	static final int SILENT_LIMIT = 3;

	private State state = State.UP;

	private String incarnation = "";

	private List<T> suspects = List.of();

	/**
	 * Requests that were already reported as suspects of a crash. If the response to one
	 * of them breaks off later, that belongs to the same crash.
	 */
	private final Set<T> reported = Collections.newSetFromMap(new IdentityHashMap<>());

	private int lastProbe;

	private int firstValidProbe;

	private int silentProbes;

	/** First probe that was sent after the last counted one had ended. */
	private int firstUncountedProbe;

	private long nextProbeMs = Long.MIN_VALUE;

	State state() {
		return this.state;
	}

	String incarnation() {
		return this.incarnation;
	}

	boolean isProbeDue(long nowMs) {
		return nowMs >= this.nextProbeMs;
	}

	/**
	 * Record that a probe is being sent.
	 * @param nowMs the time
	 * @return the number of the probe
	 */
	int startProbe(long nowMs) {
		this.nextProbeMs = nowMs + ((this.state == State.UP) ? UP_PROBE_MS : DOWN_PROBE_MS);
		return ++this.lastProbe;
	}

	/**
	 * Record that a response broke off. If the server turns out to have crashed, the
	 * requests that are in flight now are the suspects.
	 * @param broken the request whose response broke off
	 * @param inFlight the requests in flight, the broken one included
	 * @param nowMs the time
	 * @return the suspects if the server is already known to have crashed, else empty
	 */
	List<T> brokeOff(T broken, List<T> inFlight, long nowMs) {
		this.reported.retainAll(inFlight);
		if (this.reported.remove(broken)) {
			return List.of();
		}
		if (this.suspects.isEmpty()) {
			this.suspects = inFlight.stream().filter((request) -> !this.reported.contains(request)).toList();
		}
		if (this.state == State.DOWN) {
			return takeSuspects();
		}
		if (this.state == State.UP) {
			startCheck(nowMs);
		}
		return List.of();
	}

	/**
	 * Record that a connection was refused.
	 * @param request the request, which is no suspect because it was not sent
	 * @param nowMs the time
	 */
	void refused(T request, long nowMs) {
		this.suspects = this.suspects.stream().filter((suspect) -> suspect != request).toList();
		if (this.state == State.UP) {
			startCheck(nowMs);
		}
	}

	private void startCheck(long nowMs) {
		this.state = State.CHECKING;
		this.firstValidProbe = this.lastProbe + 1;
		this.nextProbeMs = nowMs;
	}

	/**
	 * Evaluate the result of a probe.
	 * @param probe the number of the probe
	 * @param health the result
	 * @return the suspects if this shows that the server crashed, else empty
	 */
	List<T> probed(int probe, Health health) {
		if (probe < this.firstValidProbe) {
			return List.of();
		}
		this.firstValidProbe = probe;
		return switch (health.state()) {
			case UP -> handleUp(health.incarnation());
			case REFUSED -> handleDown("connections are refused");
			case SILENT -> handleSilent(probe);
		};
	}

	private List<T> handleUp(String probedIncarnation) {
		this.silentProbes = 0;
		boolean restarted = !this.incarnation.isEmpty() && !probedIncarnation.isEmpty()
				&& !probedIncarnation.equals(this.incarnation);
		if (restarted) {
			EventLog.log(AgentEvent.BACKEND_RESTARTED, this.incarnation, probedIncarnation);
		}
		if (this.state == State.DOWN) {
			EventLog.log(AgentEvent.BACKEND_UP);
		}
		this.incarnation = probedIncarnation.isEmpty() ? this.incarnation : probedIncarnation;
		this.state = State.UP;
		if (restarted) {
			return takeSuspects();
		}
		this.suspects = List.of();
		return List.of();
	}

	private List<T> handleDown(String reason) {
		if (this.state != State.DOWN) {
			EventLog.log(AgentEvent.BACKEND_DOWN, reason);
		}
		this.state = State.DOWN;
		return takeSuspects();
	}

	private List<T> handleSilent(int probe) {
		// Probes of a server that is up are as far apart as their time limit; those of a
		// server that is checked overlap.
		if (this.state == State.CHECKING && probe < this.firstUncountedProbe) {
			return List.of();
		}
		this.firstUncountedProbe = this.lastProbe + 1;
		this.silentProbes++;
		return (this.silentProbes >= SILENT_LIMIT) ? handleDown(this.silentProbes + " probes were not answered")
				: List.of();
	}

	private List<T> takeSuspects() {
		List<T> taken = this.suspects;
		this.suspects = List.of();
		this.reported.addAll(taken);
		return taken;
	}

	/**
	 * State of the backend server. Immutable and thread-safe.
	 */
	enum State {

		/** It accepts work. */
		UP(AdmissionControl.Gate.OPEN),
		/** A response broke off or a connection was refused; a probe decides. */
		CHECKING(AdmissionControl.Gate.PAUSED),
		/** It refuses connections or does not answer probes. */
		DOWN(AdmissionControl.Gate.CLOSED);

		private final AdmissionControl.Gate gate;

		State(AdmissionControl.Gate gate) {
			this.gate = gate;
		}

		AdmissionControl.Gate gate() {
			return this.gate;
		}

	}

}
