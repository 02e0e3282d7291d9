package org.acaciamux.internal.coordination.direct;

/**
 * A part of a prompt, which model engines cache and reuse for other requests. Immutable
 * and thread-safe.
 *
 * @param id identifies the part's content
 * @param tokens its size in tokens, at least 0
 */
public record PromptPart(String id, int tokens) {
}
