package org.acaciamux.internal.coordination.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Predicate;

import org.acaciamux.internal.state.record.PrioritySpec;

/**
 * Weighted fair queue over organisations; inside an organisation the highest priority
 * goes first, and waiting raises a priority by one level per {@code agingMs}. Invariants:
 * an organisation that always has work queued gets a share of the turns in proportion to
 * its weight, and one that was idle cannot save up turns. Not thread-safe.
 *
 * @param <T> the type of the work
 */
public final class FairQueue<T extends Queued> {

	private final Map<String, Lane<T>> lanes = new HashMap<>();

	private final PriorityQueue<T> byDeadline = new PriorityQueue<>(Comparator.comparingLong(Queued::deadlineMs));

	private final LinkedHashSet<T> byArrival = new LinkedHashSet<>();

	private double virtualTime;

	/**
	 * Add work at the end of its organisation's and priority's line.
	 * @param work the work
	 */
	public void add(T work) {
		Lane<T> lane = this.lanes.computeIfAbsent(work.organisation().name(), (name) -> new Lane<>());
		if (lane.size == 0) {
			lane.turn = Math.max(lane.turn, this.virtualTime);
		}
		lane.add(work);
		this.byDeadline.add(work);
		this.byArrival.add(work);
	}

	/**
	 * Take the work whose turn it is.
	 * @param nowMs the time
	 * @return the work, or empty if nothing is queued
	 */
	public Optional<T> poll(long nowMs) {
		Optional<Lane<T>> next = this.lanes.values()
			.stream()
			.filter((lane) -> lane.size > 0)
			.min(Comparator.comparingDouble((lane) -> lane.turn));
		if (next.isEmpty()) {
			return Optional.empty();
		}
		Lane<T> lane = next.get();
		T work = lane.next(nowMs);
		this.virtualTime = lane.turn;
		lane.turn += 1.0 / work.organisation().weight();
		remove(work);
		forgetIdle();
		return Optional.of(work);
	}

	/**
	 * Remove work.
	 * @param work the work
	 * @return whether it was queued
	 */
	public boolean remove(T work) {
		if (!this.byArrival.remove(work)) {
			return false;
		}
		this.byDeadline.remove(work);
		Lane<T> lane = this.lanes.get(work.organisation().name());
		lane.remove(work);
		if (this.byArrival.isEmpty()) {
			this.lanes.clear();
		}
		return true;
	}

	/**
	 * Forgets idle organisations once their last turn lies in the past. Before that an
	 * organisation that queues one request at a time would pay for none of its turns and
	 * starve the others.
	 */
	private void forgetIdle() {
		this.lanes.values().removeIf((lane) -> lane.size == 0 && lane.turn <= this.virtualTime);
	}

	/**
	 * Remove the work whose deadline has passed or that has waited for too long.
	 * @param nowMs the time
	 * @param longestWaitMs the longest wait
	 * @return the removed work
	 */
	public List<T> expire(long nowMs, long longestWaitMs) {
		List<T> expired = new ArrayList<>();
		while (!this.byDeadline.isEmpty() && this.byDeadline.peek().deadlineMs() <= nowMs) {
			T work = this.byDeadline.peek();
			remove(work);
			expired.add(work);
		}
		while (!this.byArrival.isEmpty() && nowMs - oldest().arrivedMs() > longestWaitMs) {
			T work = oldest();
			remove(work);
			expired.add(work);
		}
		return expired;
	}

	private T oldest() {
		return this.byArrival.iterator().next();
	}

	/**
	 * Find queued work.
	 * @param filter selects the work
	 * @return the selected work in order of arrival
	 */
	public List<T> matching(Predicate<T> filter) {
		return this.byArrival.stream().filter(filter).toList();
	}

	/**
	 * Remove everything.
	 * @return the removed work in order of arrival
	 */
	public List<T> clear() {
		List<T> all = new ArrayList<>(this.byArrival);
		this.byArrival.clear();
		this.byDeadline.clear();
		this.lanes.clear();
		return all;
	}

	/**
	 * Return the length.
	 * @return the number of queued requests
	 */
	public int size() {
		return this.byArrival.size();
	}

	/**
	 * Return how much an organisation has queued.
	 * @param organisation the name
	 * @return the number of queued requests
	 */
	public int size(String organisation) {
		Lane<T> lane = this.lanes.get(organisation);
		return (lane != null) ? lane.size : 0;
	}

	/**
	 * Return how many turns pass until an organisation's next request would run.
	 * @param organisation the name
	 * @param weight the organisation's weight
	 * @return the number of requests that go before it, at most the length of the queue
	 */
	public int ahead(String organisation, int weight) {
		int own = size(organisation);
		double others = 0;
		for (Map.Entry<String, Lane<T>> entry : this.lanes.entrySet()) {
			Lane<T> lane = entry.getValue();
			if (!entry.getKey().equals(organisation)) {
				others += Math.min(lane.size, (own + 1.0) * lane.weight / weight);
			}
		}
		return (int) Math.ceil(own + others);
	}

	/**
	 * Return what is queued, by organisation and priority.
	 * @param nowMs the time
	 * @return one entry per organisation and priority with queued work
	 */
	public List<Backlog> backlog(long nowMs) {
		List<Backlog> backlog = new ArrayList<>();
		this.lanes.forEach((organisation, lane) -> lane.lines.forEach((priority, line) -> {
			long age = nowMs - line.iterator().next().arrivedMs();
			backlog.add(new Backlog(organisation, priority, line.size(), age));
		}));
		backlog.sort(Comparator.comparing(Backlog::organisation).thenComparing(Backlog::priority));
		return backlog;
	}

	/**
	 * Queued work of one organisation and priority. Immutable and thread-safe.
	 *
	 * @param organisation the organisation's name
	 * @param priority the priority's name
	 * @param count the number of requests
	 * @param oldestMs the age of the oldest in milliseconds
	 */
	public record Backlog(String organisation, String priority, int count, long oldestMs) {
	}

	/**
	 * The queued work of one organisation. Invariant: no line is empty.
	 */
	private static final class Lane<T extends Queued> {

		private final Map<String, Set<T>> lines = new LinkedHashMap<>();

		private double turn;

		private int weight = 1;

		private int size;

		private void add(T work) {
			this.lines.computeIfAbsent(work.priority().name(), (name) -> new LinkedHashSet<>()).add(work);
			this.weight = work.organisation().weight();
			this.size++;
		}

		private void remove(T work) {
			Set<T> line = this.lines.get(work.priority().name());
			line.remove(work);
			this.size--;
			if (line.isEmpty()) {
				this.lines.remove(work.priority().name());
			}
		}

		private T next(long nowMs) {
			Iterator<Set<T>> heads = this.lines.values().iterator();
			T best = heads.next().iterator().next();
			while (heads.hasNext()) {
				T head = heads.next().iterator().next();
				if (goesBefore(head, best, nowMs)) {
					best = head;
				}
			}
			return best;
		}

		private static boolean goesBefore(Queued left, Queued right, long nowMs) {
			double difference = level(left, nowMs) - level(right, nowMs);
			return difference > 0 || (difference == 0 && left.arrivedMs() < right.arrivedMs());
		}

		private static double level(Queued work, long nowMs) {
			PrioritySpec priority = work.priority();
			return priority.level() + (double) (nowMs - work.arrivedMs()) / priority.agingMs();
		}

	}

}
