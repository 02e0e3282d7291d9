package org.acaciamux.internal.experiment;

import java.util.List;

import org.acaciamux.internal.coordination.direct.PromptPart;

/**
 * One request at a simulated engine. Used by one thread.
 */
final class EngineRun {

	final List<PromptPart> prompt;

	final int outputTokens;

	final Listener listener;

	int unreadTokens;

	int generatedTokens;

	boolean running;

	EngineRun(List<PromptPart> prompt, int outputTokens, Listener listener) {
		this.prompt = prompt;
		this.outputTokens = outputTokens;
		this.listener = listener;
	}

	int memoryTokens() {
		return this.prompt.stream().mapToInt(PromptPart::tokens).sum() + this.generatedTokens;
	}

	/**
	 * Receives the progress of a run, at the virtual time at which the engine makes it.
	 */
	interface Listener {

		void firstToken();

		void ended();

	}

}
