package org.acaciamux.internal.process.direct;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Compresses datagrams between routers. Most bytes of a message are names of fields and
 * ids of backend servers, and each router sends up to 96 messages a second, most of them
 * to other failure domains. Invariant: a datagram that was not packed is passed on as it
 * is, so that routers of a former version are understood. Confined to the event loop.
 */
final class MessagePacking {

	/** First byte of a packed datagram; that of a plain one is an opening brace. */
	private static final byte PACKED = 1;

	/** Text that messages share; the most frequent parts stand last. */
	private static final byte[] DICTIONARY = ("\"leavingServers\":[],\"partCrashes\":{\"crashes\":{}\"leaving\":false,"
			+ "\"placements\":{\"domain\":\"\"packs\":true,\"ageMs\":\"changed\":\"revision\":\"config\":\"inFlight\":{"
			+ "\"sequence\":\"incarnation\":\",\"peer\":\"{\"format\":1,\"router\":\"")
		.getBytes(StandardCharsets.UTF_8);

	/** Longest unpacked datagram that is accepted, in bytes. */
	private static final int MAX_UNPACKED_BYTES = 16_384;

	private final Deflater deflater = new Deflater(Deflater.DEFAULT_COMPRESSION, true);

	private final Inflater inflater = new Inflater(true);

	private final byte[] buffer = new byte[MAX_UNPACKED_BYTES];

	/**
	 * Pack a datagram.
	 * @param plain the encoded message
	 * @return the packed datagram, or the plain one if packing does not make it shorter
	 */
	byte[] pack(byte[] plain) {
		this.deflater.reset();
		this.deflater.setDictionary(DICTIONARY);
		this.deflater.setInput(plain);
		this.deflater.finish();
		byte[] packed = new byte[plain.length];
		packed[0] = PACKED;
		int length = this.deflater.deflate(packed, 1, packed.length - 1);
		return this.deflater.finished() ? Arrays.copyOf(packed, 1 + length) : plain;
	}

	/**
	 * Unpack a datagram.
	 * @param datagram what another router has sent
	 * @return the encoded message, empty if the datagram is damaged or too long
	 */
	Optional<byte[]> unpack(byte[] datagram) {
		if (datagram.length == 0 || datagram[0] != PACKED) {
			return Optional.of(datagram);
		}
		this.inflater.reset();
		this.inflater.setDictionary(DICTIONARY);
		this.inflater.setInput(datagram, 1, datagram.length - 1);
		try {
			int length = this.inflater.inflate(this.buffer);
			return this.inflater.finished() ? Optional.of(Arrays.copyOf(this.buffer, length)) : Optional.empty();
		}
		catch (DataFormatException ex) {
			return Optional.empty();
		}
	}

}
