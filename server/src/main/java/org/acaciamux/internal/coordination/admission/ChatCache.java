package org.acaciamux.internal.coordination.admission;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.google.protobuf.ByteString;

/**
 * Access to the KV caches of chats in the backend server. Implementations are
 * thread-safe; stages complete exactly once and never exceptionally.
 */
public interface ChatCache {

	/** A server without a cache. */
	ChatCache NONE = new ChatCache() {

		@Override
		public CompletionStage<Optional<ByteString>> exportChat(String chat) {
			return CompletableFuture.completedFuture(Optional.empty());
		}

		@Override
		public CompletionStage<Boolean> importChat(ByteString cache) {
			return CompletableFuture.completedFuture(false);
		}

	};

	/**
	 * Export the cache of a chat.
	 * @param chat the chat's identity
	 * @return the cache in the server's own format, or empty if the server has none
	 */
	CompletionStage<Optional<ByteString>> exportChat(String chat);

	/**
	 * Import a cache that another server of the pool exported.
	 * @param cache the exported bytes
	 * @return whether the server accepted it
	 */
	CompletionStage<Boolean> importChat(ByteString cache);

}
