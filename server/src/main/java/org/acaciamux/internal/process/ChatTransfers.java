package org.acaciamux.internal.process;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.google.protobuf.ByteString;

import org.acaciamux.internal.coordination.admission.ChatOffers;
import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.coordination.routing.RendezvousChooser;
import org.acaciamux.internal.protocol.wire.Frame;
import org.acaciamux.internal.protocol.wire.KvOffer;
import org.acaciamux.internal.state.record.PoolSpec;

/**
 * Sends the cache of a chat to the agent that routers will choose for the chat once this
 * agent has left. Caches that do not fit in one frame are not sent. Thread-safe.
 */
final class ChatTransfers implements ChatOffers {

	private static final int MAX_CACHE_BYTES = 15 << 20;

	private final ProcessCore core;

	private final RendezvousChooser chooser;

	ChatTransfers(ProcessCore core, RendezvousChooser chooser) {
		this.core = core;
		this.chooser = chooser;
	}

	@Override
	public CompletionStage<Boolean> offer(String pool, String chat, ByteString cache) {
		Optional<Member> target = this.core.records.pool(pool).flatMap((spec) -> nextAgent(spec, chat));
		if (target.isEmpty() || cache.size() > MAX_CACHE_BYTES) {
			return CompletableFuture.completedFuture(false);
		}
		KvOffer offer = KvOffer.newBuilder().setPool(pool).setChat(chat).setCache(cache).build();
		return this.core.peerClient.link(target.get())
			.thenApply((result) -> result.peek((link) -> link.send(Frame.newBuilder().setKvOffer(offer).build()))
				.isRight());
	}

	private Optional<Member> nextAgent(PoolSpec spec, String chat) {
		return this.chooser.nextCandidate(spec, this.core.members.agents(spec.name()), chat, this.core.settings.id());
	}

}
