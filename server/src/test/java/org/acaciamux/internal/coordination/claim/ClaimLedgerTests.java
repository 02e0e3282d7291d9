package org.acaciamux.internal.coordination.claim;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.acaciamux.Failure;
import org.acaciamux.FailureCode;
import org.acaciamux.Outcome;
import org.acaciamux.internal.coordination.claim.CallClaims.Decision;
import org.acaciamux.internal.coordination.claim.CallClaims.KeyedCall;
import org.acaciamux.internal.coordination.platform.FakeObjectStore;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against calls that run twice, and against callers told that a call did not run
 * although it ran or can still run: with lost answers, outages, takeovers from frozen
 * owners and deleted claims.
 */
public class ClaimLedgerTests {

	private static final String POOL = "pay";

	private static final long RETENTION_MS = 60_000;

	private static final CallDigest DIGEST = CallDigest.of("POST", "/charge", new byte[0]);

	private static final Failure QUEUE_FULL = Failure.unknown(FailureCode.QUEUE_FULL, "The queue is full", 100);

	private FakeObjectStore store;

	private long nowNanos;

	private long nowMs;

	private long skewOfB;

	private long keys;

	private ClaimLedger a;

	private ClaimLedger b;

	@BeforeMethod
	public void start() {
		this.store = new FakeObjectStore();
		this.nowMs = 1_700_000_000_000L;
		this.skewOfB = 0;
		this.a = ledger("a", 1, 0);
		this.b = ledger("b", 2, 1);
		this.a.ensurePartitionCount(1);
		this.b.ensurePartitionCount(1);
		this.a.takeOver(0, "", 0);
	}

	@Test
	public void aCallRunsOnlyAfterItsClaimIsWritten() {
		this.store.holdIf(FakeObjectStore.Call::isWrite);
		CompletableFuture<Decision> decision = claim(this.a, call(false));
		assertFalse(decision.isDone());
		this.store.held().get(0).answer();
		assertTrue(decision.join() instanceof Decision.Run);
	}

	@Test
	public void aCallClaimedByAFrozenOwnerIsUnknownAtTheNextOwner() {
		this.store.holdIf((call) -> call.isWrite() && call.client().equals("a"));
		KeyedCall call = call(true);
		CompletableFuture<Decision> frozen = claim(this.a, call);
		this.store.held().get(0).apply();
		this.b.takeOver(0, "a", 1);
		assertEquals(refusal(claim(this.b, call)), "outcome-unknown unknown");
		this.store.held().get(0).answer();
		assertTrue(frozen.join() instanceof Decision.Run);
	}

	@Test
	public void anOwnerFrozenBeforeItsWriteCannotClaimAfterTheTakeover() {
		this.store.holdIf((call) -> call.isWrite() && call.client().equals("a"));
		KeyedCall call = call(false);
		CompletableFuture<Decision> frozen = claim(this.a, call);
		this.b.takeOver(0, "a", 1);
		CompletableFuture<Decision> moved = claim(this.b, call);
		this.store.held().get(0).answer();
		assertTrue(moved.join() instanceof Decision.Run);
		assertEquals(refusal(frozen), "not-owner unknown");
	}

	@Test
	public void aLostAnswerDoesNotLoseTheClaim() {
		this.store.loseAnswers(1);
		assertTrue(claim(this.a, call(false)).join() instanceof Decision.Run);
	}

	@Test
	public void aWriteThatTakesEffectAfterTheReadCountsOnce() {
		this.store.holdIf(FakeObjectStore.Call::isWrite);
		CompletableFuture<Decision> decision = claim(this.a, call(false));
		FakeObjectStore.Call late = this.store.held().get(0);
		late.loseAnswer();
		late.apply();
		assertFalse(decision.isDone());
		this.store.held().get(0).answer();
		assertTrue(decision.join() instanceof Decision.Run);
	}

	@Test
	public void aClaimWrittenBeforeTheSealRunsAlthoughItsAnswerWasLost() {
		this.store.holdIf((call) -> call.client().equals("a"));
		CompletableFuture<Decision> decision = claim(this.a, call(false));
		FakeObjectStore.Call write = this.store.held().get(0);
		write.apply();
		this.b.takeOver(0, "a", 1);
		write.loseAnswer();
		this.store.held().get(0).answer();
		assertTrue(decision.join() instanceof Decision.Run);
	}

	@Test
	public void inAnOutageNewKeysAreRefusedAtOnceAndOldOnesReplayed() {
		KeyedCall old = call(true);
		claim(this.a, old);
		this.a.answered(old, answer("paid"));
		this.store.outage(true);
		assertEquals(refusal(claim(this.a, call(true))), "claims-unavailable not-run");
		assertEquals(refusal(claim(this.a, call(false))), "claims-unavailable unknown");
		assertEquals(replayed(claim(this.a, old)), "paid");
	}

	@Test
	public void afterAnOutageNewKeysRunAgain() {
		this.store.outage(true);
		claim(this.a, call(true));
		this.store.outage(false);
		advance(1_000);
		assertTrue(claim(this.a, call(true)).join() instanceof Decision.Run);
	}

	@Test
	public void aRefusedKeyNeverRunsEvenAfterATakeover() {
		KeyedCall call = call(false);
		assertEquals(this.a.refuse(call, QUEUE_FULL).toCompletableFuture().join().outcome(), Outcome.NOT_RUN);
		this.b.takeOver(0, "a", 1);
		assertEquals(refusal(claim(this.b, call)), "key-refused not-run");
	}

	@Test
	public void aRefusalThatCannotBeWrittenIsUnknown() {
		this.store.outage(true);
		assertEquals(this.a.refuse(call(false), QUEUE_FULL).toCompletableFuture().join().outcome(), Outcome.UNKNOWN);
	}

	@Test
	public void aCallerToldNotRunWhileItsClaimIsWrittenIsNotRunLater() {
		this.store.holdIf(FakeObjectStore.Call::isWrite);
		KeyedCall call = call(true);
		CompletableFuture<Decision> first = claim(this.a, call);
		advance(3_000);
		assertEquals(refusal(first), "claims-unavailable not-run");
		this.store.held().get(0).answer();
		assertEquals(refusal(claim(this.a, call)), "key-refused not-run");
	}

	@Test
	public void aCallerToldUnknownWhileItsClaimIsWrittenCanRepeatTheKey() {
		this.store.holdIf(FakeObjectStore.Call::isWrite);
		KeyedCall call = call(false);
		CompletableFuture<Decision> first = claim(this.a, call);
		advance(3_000);
		assertEquals(refusal(first), "claims-unavailable unknown");
		this.store.held().get(0).answer();
		assertTrue(claim(this.a, call).join() instanceof Decision.Run);
	}

	@Test
	public void aSlowClockDoesNotAcceptAKeyWhoseClaimIsDeleted() {
		KeyedCall call = call(false);
		claim(this.a, call);
		for (int i = 0; i < 4; i++) {
			claim(this.a, call(false));
		}
		advance(RETENTION_MS + 11_000);
		advance(5_000);
		claim(this.a, call(false));
		this.skewOfB = -40_000;
		this.b.takeOver(0, "a", 1);
		assertEquals(refusal(claim(this.b, call)), "key-expired unknown");
	}

	@Test
	public void expiredSegmentsAreDeleted() {
		for (int i = 0; i < 5; i++) {
			claim(this.a, call(false));
			advance(10);
		}
		long before = segments();
		advance(RETENTION_MS + 11_000);
		advance(5_000);
		assertEquals(before + " " + segments(), "2 1");
	}

	@Test
	public void aKeyWithAnotherBodyIsRefused() {
		KeyedCall call = call(true);
		claim(this.a, call);
		KeyedCall other = new KeyedCall(POOL, call.key(), CallDigest.of("POST", "/charge", new byte[1]), false);
		assertEquals(refusal(claim(this.a, other)), "key-reused not-run");
	}

	@Test
	public void aRestartedProcessTakesOverFromItself() {
		KeyedCall call = call(false);
		claim(this.a, call);
		ClaimLedger restarted = ledger("a", 3, 0);
		restarted.ensurePartitionCount(1);
		restarted.takeOver(0, "a", 1);
		assertEquals(refusal(claim(restarted, call)), "outcome-unknown unknown");
		assertEquals(refusal(claim(this.a, call(false))), "not-owner unknown");
	}

	@Test
	public void repetitionsOfARunningCallGetItsAnswer() {
		KeyedCall call = call(false);
		claim(this.a, call);
		Decision.Attach attach = (Decision.Attach) claim(this.a, call).join();
		this.a.answered(call, answer("paid"));
		assertEquals(attach.end().toCompletableFuture().join().get().body().toStringUtf8(), "paid");
	}

	@Test
	public void callsThatArriveDuringAWriteShareTheNextWrite() {
		this.store.holdIf(FakeObjectStore.Call::isWrite);
		claim(this.a, call(false));
		CompletableFuture<Decision> second = claim(this.a, call(false));
		CompletableFuture<Decision> third = claim(this.a, call(false));
		this.store.held().get(0).answer();
		this.store.held().get(0).answer();
		assertTrue(second.join() instanceof Decision.Run && third.join() instanceof Decision.Run);
	}

	@Test
	public void writesStayWithinTheBudget() {
		int before = this.store.writes();
		for (int i = 0; i < 1_000; i++) {
			this.a.claim(call(false));
			advance(1);
		}
		int claimWrites = this.store.writes() - before;
		int rollOvers = 2 * (1_000 / 4);
		assertTrue(claimWrites <= 101 + rollOvers, claimWrites + " writes");
	}

	@Test
	public void theOutcomeOfACallOutlivesItsOwner() {
		KeyedCall call = call(false);
		claim(this.a, call);
		this.a.answered(call, answer("paid"));
		this.a.release(0);
		advance(100);
		advance(100);
		this.b.takeOver(0, "", 0);
		Decision.Refuse refuse = (Decision.Refuse) claim(this.b, call).join();
		assertTrue(refuse.failure().detail().contains("answered with status 200"), refuse.failure().detail());
	}

	@Test
	public void anOutdatedViewDoesNotUndoARelease() {
		this.a.release(0);
		advance(100);
		advance(100);
		this.a.takeOver(0, "a", 1);
		assertEquals(this.a.states(), List.of(ClaimPartition.State.IDLE));
		this.a.takeOver(0, "", 0);
		assertEquals(this.a.states(), List.of(ClaimPartition.State.OWNED));
	}

	@Test
	public void keysThatAMissingSegmentMayHaveHeldAreRefused() {
		KeyedCall call = call(false);
		claim(this.a, call);
		this.store.list(ClaimSegment.KIND)
			.thenAccept((list) -> list.get()
				.items()
				.forEach((item) -> this.store.delete(ClaimSegment.KIND, item.name(), item.version())));
		this.b.takeOver(0, "a", 1);
		assertEquals(refusal(claim(this.b, call)), "key-expired unknown");
	}

	@Test
	public void anAnswerTooLargeToKeepIsNotRunAgain() {
		KeyedCall call = call(false);
		claim(this.a, call);
		this.a.answered(call, answer("x".repeat(2_000)));
		assertEquals(refusal(claim(this.a, call)), "outcome-unknown unknown");
	}

	private ClaimLedger ledger(String vm, long incarnation, int number) {
		FakeRecords records = FakeRecords.plain(POOL, 1, RETENTION_MS, this.store);
		ClaimSettings settings = new ClaimSettings(100, 4, 2_000, 50, 1_024, 10_000, 10_000);
		return new ClaimLedger(POOL, vm, incarnation, this.store.client(vm), records,
				() -> this.nowMs + number * this.skewOfB, () -> this.nowNanos, settings, new MetricRegistry());
	}

	private KeyedCall call(boolean first) {
		return new KeyedCall(POOL, ClaimSimulation.key(this.nowMs, ++this.keys), DIGEST, first);
	}

	private void advance(long millis) {
		this.nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
		this.nowMs += millis;
		this.a.tick();
		this.b.tick();
	}

	private long segments() {
		return this.store.list(ClaimSegment.KIND).toCompletableFuture().join().get().items().size();
	}

	private CompletableFuture<Decision> claim(ClaimLedger ledger, KeyedCall call) {
		advance(10);
		CompletableFuture<Decision> decision = ledger.claim(call).toCompletableFuture();
		ledger.tick();
		return decision;
	}

	private static StoredAnswer answer(String body) {
		return new StoredAnswer(200, List.of(), ByteString.copyFromUtf8(body));
	}

	private static String replayed(CompletableFuture<Decision> decision) {
		return ((Decision.Replay) decision.join()).answer().body().toStringUtf8();
	}

	private static String refusal(CompletableFuture<Decision> decision) {
		assertTrue(decision.isDone(), "no decision yet");
		Failure failure = ((Decision.Refuse) decision.join()).failure();
		return failure.code().code() + " " + failure.outcome().headerValue();
	}

}
