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
 * Weighted fair queue over organisations, by virtual start times; inside an organisation
 * the highest priority goes first, and waiting raises a priority by one level per
 * {@code agingMs}. Invariants: an organisation that always has work queued gets a share
 * of the turns in proportion to its weight, and an idle organisation does not accumulate
 * turns. Not thread-safe.
 *
 * @param <T> the type of the work
 */
public final class FairQueue<T extends Queued> {

	private final Map<String, OrganisationQueue<T>> queues = new HashMap<>();

	private final PriorityQueue<T> byDeadline = new PriorityQueue<>(Comparator.comparingLong(Queued::deadlineMs));

	private final LinkedHashSet<T> byArrival = new LinkedHashSet<>();

	private double virtualTime;

	/**
	 * Add work behind the queued work of the same organisation and priority.
	 * @param work the work
	 */
	public void add(T work) {
		OrganisationQueue<T> queue = this.queues.computeIfAbsent(work.organisation().name(),
				(name) -> new OrganisationQueue<>());
		if (queue.size == 0) {
			queue.virtualStart = Math.max(queue.virtualStart, this.virtualTime);
		}
		queue.add(work);
		this.byDeadline.add(work);
		this.byArrival.add(work);
	}

	/**
	 * Remove and return the work that is to run next.
	 * @param nowMs the time
	 * @return the work, or empty if nothing is queued
	 */
	public Optional<T> poll(long nowMs) {
		Optional<OrganisationQueue<T>> next = this.queues.values()
			.stream()
			.filter((queue) -> queue.size > 0)
			.min(Comparator.comparingDouble((queue) -> queue.virtualStart));
		if (next.isEmpty()) {
			return Optional.empty();
		}
		OrganisationQueue<T> queue = next.get();
		T work = queue.next(nowMs);
		this.virtualTime = queue.virtualStart;
		queue.virtualStart += 1.0 / work.organisation().weight();
		remove(work);
		removeIdleQueues();
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
		OrganisationQueue<T> queue = this.queues.get(work.organisation().name());
		queue.remove(work);
		if (this.byArrival.isEmpty()) {
			this.queues.clear();
		}
		return true;
	}

	/**
	 * Remove the queues of idle organisations once the virtual time has reached their
	 * next virtual start. If they were removed earlier, an organisation that queues one
	 * request at a time would start anew at the current virtual time after each turn and
	 * starve the others.
	 */
	private void removeIdleQueues() {
		this.queues.values().removeIf((queue) -> queue.size == 0 && queue.virtualStart <= this.virtualTime);
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
	 * List the queued work that a filter accepts.
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
		this.queues.clear();
		return all;
	}

	/**
	 * Return the number of queued requests of all organisations.
	 * @return the number of queued requests
	 */
	public int size() {
		return this.byArrival.size();
	}

	/**
	 * Return the number of queued requests of an organisation.
	 * @param organisation the name
	 * @return the number of queued requests
	 */
	public int size(String organisation) {
		OrganisationQueue<T> queue = this.queues.get(organisation);
		return (queue != null) ? queue.size : 0;
	}

	/**
	 * Estimate how many requests run before the next request that an organisation adds.
	 * @param organisation the name
	 * @param weight the organisation's weight
	 * @return the number of requests, at most the length of the queue
	 */
	public int requestsAhead(String organisation, int weight) {
		int own = size(organisation);
		double others = 0;
		for (Map.Entry<String, OrganisationQueue<T>> entry : this.queues.entrySet()) {
			OrganisationQueue<T> queue = entry.getValue();
			if (!entry.getKey().equals(organisation)) {
				others += Math.min(queue.size, (own + 1.0) * queue.weight / weight);
			}
		}
		return (int) Math.ceil(own + others);
	}

	/**
	 * Return the backlog by organisation and priority.
	 * @param nowMs the time
	 * @return one entry per organisation and priority with queued work
	 */
	public List<Backlog> backlog(long nowMs) {
		List<Backlog> backlog = new ArrayList<>();
		this.queues.forEach((organisation, queue) -> queue.byPriority.forEach((priority, requests) -> {
			long age = nowMs - requests.iterator().next().arrivedMs();
			backlog.add(new Backlog(organisation, priority, requests.size(), age));
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
	 * The queued work of one organisation. Invariant: no set in {@code byPriority} is
	 * empty.
	 */
	private static final class OrganisationQueue<T extends Queued> {

		private final Map<String, Set<T>> byPriority = new LinkedHashMap<>();

		private double virtualStart;

		private int weight = 1;

		private int size;

		private void add(T work) {
			this.byPriority.computeIfAbsent(work.priority().name(), (name) -> new LinkedHashSet<>()).add(work);
			this.weight = work.organisation().weight();
			this.size++;
		}

		private void remove(T work) {
			Set<T> requests = this.byPriority.get(work.priority().name());
			requests.remove(work);
			this.size--;
			if (requests.isEmpty()) {
				this.byPriority.remove(work.priority().name());
			}
		}

		private T next(long nowMs) {
			Iterator<Set<T>> heads = this.byPriority.values().iterator();
			T best = heads.next().iterator().next();
			while (heads.hasNext()) {
				T head = heads.next().iterator().next();
				if (precedes(head, best, nowMs)) {
					best = head;
				}
			}
			return best;
		}

		private static boolean precedes(Queued left, Queued right, long nowMs) {
			double difference = agedLevel(left, nowMs) - agedLevel(right, nowMs);
			return difference > 0 || (difference == 0 && left.arrivedMs() < right.arrivedMs());
		}

		private static double agedLevel(Queued work, long nowMs) {
			PrioritySpec priority = work.priority();
			return priority.level() + (double) (nowMs - work.arrivedMs()) / priority.agingMs();
		}

	}

}
