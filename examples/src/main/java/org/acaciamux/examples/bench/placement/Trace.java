package org.acaciamux.examples.bench.placement;

import java.util.Arrays;
import java.util.Random;

/**
 * The requests of a run, drawn once and used for every strategy, so that results differ
 * only by the decisions of the strategies. Not modified after construction.
 */
final class Trace {

	/** Limits the draws for one request, in case most chats are waiting for an answer. */
	private static final int MAX_REDRAWS = 50;

	final double[] arrival;

	final int[] chat;

	final int[] router;

	/** Duration of each request in multiples of the mean. */
	final double[] work;

	/** Whether the caller of each chat returns the affinity token. */
	final boolean[] keepsToken;

	final String[] chatIds;

	final double ratePerSecond;

	Trace(BenchSettings settings, int servers) {
		Random random = new Random(settings.seed);
		int count = settings.requests(servers);
		int chats = settings.chats(servers);
		this.ratePerSecond = settings.meanLoad * servers / settings.service;
		this.arrival = new double[count];
		this.chat = new int[count];
		this.router = new int[count];
		this.work = new double[count];
		this.keepsToken = new boolean[chats];
		this.chatIds = new String[chats];
		for (int i = 0; i < chats; i++) {
			this.keepsToken[i] = random.nextDouble() >= settings.tokenLoss;
			this.chatIds[i] = "chat-" + Long.toHexString(random.nextLong());
		}
		drawRequests(settings, random, settings.routers(servers));
	}

	private void drawRequests(BenchSettings settings, Random random, int routers) {
		double[] cumulated = popularity(this.chatIds.length, settings.zipf);
		double[] busyUntil = new double[this.chatIds.length];
		double pause = settings.mix.equals("conversations") ? 2 * settings.service : 0;
		double now = 0;
		for (int i = 0; i < this.arrival.length; i++) {
			now += exponential(random) / this.ratePerSecond;
			int drawn = drawChat(cumulated, random);
			for (int redraws = 0; busyUntil[drawn] > now && redraws < MAX_REDRAWS; redraws++) {
				drawn = drawChat(cumulated, random);
			}
			this.arrival[i] = now;
			this.chat[i] = drawn;
			this.router[i] = random.nextInt(routers);
			this.work[i] = exponential(random);
			busyUntil[drawn] = now + pause * this.work[i];
		}
	}

	private static double[] popularity(int chats, double exponent) {
		double[] cumulated = new double[chats];
		double sum = 0;
		for (int i = 0; i < chats; i++) {
			sum += Math.pow(i + 1.0, -exponent);
			cumulated[i] = sum;
		}
		return cumulated;
	}

	private static int drawChat(double[] cumulated, Random random) {
		int index = Arrays.binarySearch(cumulated, random.nextDouble() * cumulated[cumulated.length - 1]);
		return (index >= 0) ? index : Math.min(-index - 1, cumulated.length - 1);
	}

	private static double exponential(Random random) {
		return -Math.log(1.0 - random.nextDouble());
	}

	int size() {
		return this.arrival.length;
	}

}
