package org.acaciamux.internal.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.SplittableRandom;

/**
 * Slow periods of one simulated server, which shares its VM with others. Lengths of slow
 * and usual periods are random; the same random numbers give the same periods whatever
 * the load. Used by one thread.
 */
final class ServerNoise {

	private static final int PERCENT = 100;

	private final List<Double> changes = new ArrayList<>();

	private final SplittableRandom random;

	private final ExperimentNoise settings;

	ServerNoise(ExperimentNoise settings, SplittableRandom random) {
		this.settings = settings;
		this.random = random;
		this.changes.add(0.0);
	}

	/**
	 * Return when work ends.
	 * @param startMs when it starts
	 * @param workMs its usual duration
	 * @return the end in milliseconds
	 */
	double endMs(double startMs, double workMs) {
		double now = startMs;
		double left = workMs;
		int period = period(startMs);
		while (now + left * factor(period) > this.changes.get(period + 1)) {
			left -= (this.changes.get(period + 1) - now) / factor(period);
			now = this.changes.get(period + 1);
			period = period(now);
		}
		return now + left * factor(period);
	}

	/**
	 * Return the duration of work.
	 * @param ms the time in milliseconds
	 * @return percent of the usual, empty if the server has no slow periods
	 */
	OptionalInt percent(double ms) {
		boolean noisy = this.settings.share() > 0;
		return noisy ? OptionalInt.of((int) Math.round(factor(period(ms)) * PERCENT)) : OptionalInt.empty();
	}

	// Periods with odd numbers are slow.
	private double factor(int period) {
		return (period % 2 == 1) ? this.settings.factor() : 1;
	}

	private int period(double ms) {
		while (this.changes.get(this.changes.size() - 1) <= ms) {
			addPeriod();
		}
		int period = this.changes.size() - 2;
		while (this.changes.get(period) > ms) {
			period--;
		}
		return period;
	}

	private void addPeriod() {
		double last = this.changes.get(this.changes.size() - 1);
		if (this.settings.share() <= 0) {
			this.changes.add(Double.MAX_VALUE);
			return;
		}
		boolean slow = this.changes.size() % 2 == 0;
		double mean = slow ? this.settings.periodMs()
				: this.settings.periodMs() * (1 - this.settings.share()) / this.settings.share();
		this.changes.add(last + mean * (0.5 + this.random.nextDouble()));
	}

}
