package org.acaciamux.internal.coordination.direct;

import java.util.Optional;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Guards against responses that are not the server's own, and against statuses that tell
 * the caller without proof that its request has not run.
 */
public class ResponsePolicyTests {

	@Test
	public void signedSuccessIsPassedOn() {
		assertEquals(ResponsePolicy.unusable(200, false, true, true, false), Optional.empty());
	}

	@Test
	public void successThatIsNotTheServersOwnIsNotPassedOn() {
		assertEquals(ResponsePolicy.unusable(200, false, false, false, false), Optional.of(SendResult.BROKEN));
	}

	@Test
	public void successThatSaysNotRunProvesNeither() {
		assertEquals(ResponsePolicy.unusable(200, true, true, false, false), Optional.of(SendResult.BROKEN));
	}

	@Test
	public void statusesThatMeanNotRunNeedProof() {
		for (int status : new int[] { 408, 429, 503 }) {
			assertEquals(ResponsePolicy.unusable(status, false, true, false, false),
					Optional.of(SendResult.SERVER_ERROR));
			assertEquals(ResponsePolicy.unusable(status, true, true, false, false), Optional.of(SendResult.REJECTED));
		}
		assertEquals(ResponsePolicy.unusable(421, false, false, false, false), Optional.of(SendResult.REJECTED));
	}

	@Test
	public void failureOfAnUnsafeRequestIsPassedOnAndThatOfASafeOneIsTriedElsewhere() {
		assertEquals(ResponsePolicy.unusable(500, false, true, false, false), Optional.empty());
		assertEquals(ResponsePolicy.unusable(500, false, true, true, false), Optional.of(SendResult.SERVER_ERROR));
	}

	@Test
	public void errorStatusIsNotPassedOnAfterAStreamHasStarted() {
		assertEquals(ResponsePolicy.unusable(404, false, true, true, true), Optional.of(SendResult.SERVER_ERROR));
	}

}
