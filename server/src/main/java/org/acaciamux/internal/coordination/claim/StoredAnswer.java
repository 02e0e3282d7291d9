package org.acaciamux.internal.coordination.claim;

import java.util.List;

import com.google.protobuf.ByteString;

import org.acaciamux.internal.protocol.wire.Header;

/**
 * The complete answer of a backend server to a keyed call. Immutable and thread-safe.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param body the body
 */
public record StoredAnswer(int status, List<Header> headers, ByteString body) {

	public StoredAnswer {
		headers = List.copyOf(headers);
	}

}
