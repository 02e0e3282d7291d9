package org.acaciamux.internal.coordination.admission;

import java.util.concurrent.CompletionStage;

import com.google.protobuf.ByteString;

/**
 * Sends the cache of a chat to the server that is the chat's next candidate once this one
 * has left. Implementations are thread-safe; stages complete exactly once and never
 * exceptionally.
 */
@FunctionalInterface
public interface ChatOffers {

	/**
	 * Offer the cache of a chat.
	 * @param pool the pool's name
	 * @param chat the chat's identity
	 * @param cache the exported bytes
	 * @return whether it was sent
	 */
	CompletionStage<Boolean> offer(String pool, String chat, ByteString cache);

}
