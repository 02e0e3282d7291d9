package org.acaciamux.internal.transport.http;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.google.protobuf.ByteString;

import org.acaciamux.internal.coordination.admission.Backend;
import org.acaciamux.internal.protocol.wire.Header;

/**
 * Collects a response of a backend server. Thread-safe.
 */
final class CollectedResponse implements Backend.Listener {

	final BlockingQueue<String> ends = new LinkedBlockingQueue<>();

	final AtomicLong received = new AtomicLong();

	volatile List<Header> headers = List.of();

	volatile ByteString body = ByteString.EMPTY;

	@Override
	public void head(int status, List<Header> headers) {
		this.headers = headers;
	}

	@Override
	public void data(ByteString data) {
		this.received.addAndGet(data.size());
		this.body = (this.body.size() < 1024) ? this.body.concat(data) : this.body;
	}

	@Override
	public void end() {
		this.ends.add("end");
	}

	/**
	 * Wait until bytes of the body have arrived.
	 */
	void awaitBytes(int count) throws InterruptedException {
		while (this.received.get() < count) {
			Thread.sleep(1);
		}
	}

	@Override
	public void failed(Backend.Break cause, String detail) {
		this.ends.add(cause.name());
	}

	/**
	 * Wait for the end of the response.
	 * @return "end", or the name of the cause if it failed
	 */
	String outcome() throws InterruptedException {
		return this.ends.poll(ScriptedServer.WAIT_S, TimeUnit.SECONDS);
	}

}
