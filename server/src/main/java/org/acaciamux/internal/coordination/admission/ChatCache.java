package org.acaciamux.internal.coordination.admission;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.google.protobuf.ByteString;

/**
 * The KV cache of the backend server. Implementations are thread-safe; stages complete
 * exactly once and never exceptionally.
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
	 * Export what the server holds of a chat.
	 * @param chat the chat's identity
	 * @return the server's own format, or empty if it holds nothing
	 */
	CompletionStage<Optional<ByteString>> exportChat(String chat);

	/**
	 * Give the server what another one has exported.
	 * @param cache the exported bytes
	 * @return whether the server took it
	 */
	CompletionStage<Boolean> importChat(ByteString cache);

}
