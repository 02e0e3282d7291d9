package org.acaciamux.internal.coordination.configuration;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.ByteString;

import org.acaciamux.internal.BrokenInvariant;
import org.acaciamux.internal.event.EventLog;
import org.acaciamux.internal.protocol.wire.ConfigUpdate;
import org.acaciamux.internal.protocol.wire.RecordVersion;
import org.acaciamux.internal.state.record.HeldRecord;
import org.acaciamux.internal.state.record.RecordKey;
import org.acaciamux.internal.state.record.RecordTable;

/**
 * Converts records to and from frames. A record version that has no value and is not
 * marked as deleted only announces that the sender holds that version. Holds no state;
 * thread-safe.
 */
final class RecordFrames {

	/** Most bytes of records in one frame, well below the frame limit of 16 MB. */
	static final int MAX_CHUNK_BYTES = 4 * 1024 * 1024;

	private static final ObjectMapper mapper = new ObjectMapper();

	private RecordFrames() {
	}

	static RecordVersion toFrame(HeldRecord record) {
		RecordVersion.Builder builder = versionHeader(record).setDeleted(record.deleted());
		if (!record.deleted()) {
			builder.setValue(bytes(record));
		}
		return builder.build();
	}

	static RecordVersion announcement(HeldRecord record) {
		return versionHeader(record).build();
	}

	private static RecordVersion.Builder versionHeader(HeldRecord record) {
		return RecordVersion.newBuilder()
			.setKind(record.key().kind())
			.setName(record.key().name())
			.setVersion(record.version());
	}

	private static ByteString bytes(HeldRecord record) {
		try {
			return ByteString.copyFrom(mapper.writeValueAsBytes(record.value()));
		}
		catch (JsonProcessingException ex) {
			throw new BrokenInvariant("Held record cannot be written as JSON: " + record.key() + ": " + ex);
		}
	}

	/**
	 * Build the updates that carry a snapshot of the record table, in the order in which
	 * they must be sent. If the snapshot is full, only the last update is marked as full;
	 * it also announces the records that the earlier ones carried.
	 * @param snapshot the records to send, with the revision and hash of the table
	 * @param full whether the snapshot holds every record
	 * @param ageMs the age of the last confirmation by the platform
	 * @return at least one update
	 */
	static List<ConfigUpdate> updates(RecordTable.Snapshot snapshot, boolean full, long ageMs) {
		List<ConfigUpdate> updates = new ArrayList<>();
		List<RecordVersion> announced = new ArrayList<>();
		ConfigUpdate.Builder chunk = updateHeader(snapshot, ageMs);
		int bytes = 0;
		for (HeldRecord record : snapshot.records()) {
			RecordVersion version = toFrame(record);
			if (bytes > 0 && bytes + version.getSerializedSize() > MAX_CHUNK_BYTES) {
				updates.add(chunk.build());
				chunk = updateHeader(snapshot, ageMs);
				bytes = 0;
			}
			bytes += version.getSerializedSize();
			chunk.addRecords(version);
			announced.add(announcement(record));
		}
		int sentBefore = announced.size() - chunk.getRecordsCount();
		if (full) {
			chunk.setFull(true).addAllRecords(announced.subList(0, sentBefore));
		}
		updates.add(chunk.build());
		return updates;
	}

	static ConfigUpdate.Builder updateHeader(RecordTable.Snapshot snapshot, long ageMs) {
		return ConfigUpdate.newBuilder()
			.setRevision(snapshot.revision())
			.setHash(snapshot.hash())
			.setConfirmedAgeMs((int) Math.min(ageMs, Integer.MAX_VALUE));
	}

	/**
	 * Read the versions that carry a value or a deletion.
	 * @param versions the versions
	 * @return the records; malformed ones are logged and left out
	 */
	static List<HeldRecord> records(Collection<RecordVersion> versions) {
		List<HeldRecord> records = new ArrayList<>();
		versions.forEach((version) -> record(version).ifPresent(records::add));
		return records;
	}

	private static Optional<HeldRecord> record(RecordVersion version) {
		if (version.getDeleted()) {
			return Optional.of(HeldRecord.tombstone(key(version), version.getVersion()));
		}
		if (version.getValue().isEmpty()) {
			return Optional.empty();
		}
		try {
			return Optional.of(new HeldRecord(key(version), version.getVersion(), false,
					mapper.readTree(version.getValue().toByteArray())));
		}
		catch (IOException ex) {
			EventLog.log(ConfigurationEvent.RECORD_MALFORMED, key(version), version.getVersion(), ex.getMessage());
			return Optional.empty();
		}
	}

	static Set<RecordKey> keys(Collection<RecordVersion> versions) {
		Set<RecordKey> keys = new HashSet<>();
		versions.forEach((version) -> keys.add(key(version)));
		return keys;
	}

	static RecordKey key(RecordVersion version) {
		return new RecordKey(version.getKind(), version.getName());
	}

}
