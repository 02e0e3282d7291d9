package org.acaciamux.internal.protocol;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.acaciamux.internal.BrokenInvariant;

/**
 * Reads and writes JSON trees with Jackson's streaming API only, because creating an
 * object mapper takes a third of a router's start time. Invariants: a value that a tree
 * cannot hold is read as null and spoils no other value of the text, since one text may
 * hold the objects of many writers; each tree that was read can be written. Thread-safe;
 * holds no state.
 */
public final class JsonTrees {

	/**
	 * Deepest nesting in a tree. Trees are read and written recursively, on threads with
	 * small stacks.
	 */
	static final int MAX_DEPTH = 100;

	/** Longest number in a tree, in characters. */
	static final int MAX_NUMBER_CHARS = 100;

	/** Nesting at which a text is rejected: each level takes memory while it is read. */
	private static final int MAX_SKIPPED_DEPTH = 600_000;

	private static final Pattern ESCAPED_SURROGATE = Pattern.compile("\\\\u[dD][89a-fA-F][0-9a-fA-F]{2}");

	private static final char REPLACEMENT = '\uFFFD';

	private static final JsonFactory FACTORY = new JsonFactoryBuilder()
		.disable(JsonFactory.Feature.FAIL_ON_SYMBOL_HASH_OVERFLOW)
		.enable(JsonReadFeature.ALLOW_UNESCAPED_CONTROL_CHARS)
		.enable(JsonReadFeature.ALLOW_NON_NUMERIC_NUMBERS)
		.streamReadConstraints(StreamReadConstraints.builder()
			.maxNestingDepth(MAX_SKIPPED_DEPTH)
			.maxNumberLength(Integer.MAX_VALUE)
			.maxNameLength(Integer.MAX_VALUE)
			.maxStringLength(Integer.MAX_VALUE)
			.build())
		.build();

	private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

	private JsonTrees() {
	}

	/**
	 * Read a tree. Values that are nested deeper than {@link #MAX_DEPTH}, numbers that
	 * are longer than {@link #MAX_NUMBER_CHARS} or not finite are null in it, and
	 * characters that are not UTF-8 or half of a pair are replaced.
	 * @param bytes one JSON value in UTF-8
	 * @return the tree
	 * @throws IOException if the bytes are not exactly one JSON value
	 */
	public static JsonNode read(byte[] bytes) throws IOException {
		try {
			return read(FACTORY.createParser(bytes));
		}
		catch (IOException ex) {
			// Replaces bytes that are not UTF-8 and escaped surrogates, neither of which
			// the
			// parser accepts everywhere.
			String text = new String(bytes, StandardCharsets.UTF_8);
			return read(FACTORY.createParser(ESCAPED_SURROGATE.matcher(text).replaceAll("\\\\ufffd")));
		}
	}

	private static JsonNode read(JsonParser opened) throws IOException {
		try (JsonParser parser = opened) {
			JsonToken first = parser.nextToken();
			if (first == null) {
				throw new IOException("the JSON text is empty");
			}
			JsonNode tree = value(parser, first, 0);
			if (parser.nextToken() != null) {
				throw new IOException("the text holds more than one JSON value");
			}
			return tree;
		}
	}

	private static JsonNode value(JsonParser parser, JsonToken token, int depth) throws IOException {
		if (depth == MAX_DEPTH && token.isStructStart()) {
			parser.skipChildren();
			return NODES.nullNode();
		}
		return switch (token) {
			case START_OBJECT -> object(parser, depth + 1);
			case START_ARRAY -> array(parser, depth + 1);
			case VALUE_STRING -> NODES.textNode(wellFormed(parser.getText()));
			case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> number(parser, token);
			case VALUE_TRUE -> NODES.booleanNode(true);
			case VALUE_FALSE -> NODES.booleanNode(false);
			case VALUE_NULL -> NODES.nullNode();
			default -> throw new IOException("unexpected " + token + " in JSON");
		};
	}

	private static JsonNode number(JsonParser parser, JsonToken token) throws IOException {
		if (parser.getTextLength() > MAX_NUMBER_CHARS) {
			return NODES.nullNode();
		}
		if (token == JsonToken.VALUE_NUMBER_FLOAT) {
			double value = parser.getDoubleValue();
			return Double.isFinite(value) ? NODES.numberNode(value) : NODES.nullNode();
		}
		return (parser.getNumberType() != JsonParser.NumberType.BIG_INTEGER) ? NODES.numberNode(parser.getLongValue())
				: NODES.numberNode(parser.getBigIntegerValue());
	}

	// An escape may name one half of a pair alone, which cannot be written in UTF-8.
	private static String wellFormed(String text) {
		StringBuilder replaced = null;
		for (int i = 0; i < text.length(); i++) {
			char current = text.charAt(i);
			if (!Character.isSurrogate(current)) {
				continue;
			}
			if (Character.isHighSurrogate(current) && i + 1 < text.length()
					&& Character.isLowSurrogate(text.charAt(i + 1))) {
				i++;
				continue;
			}
			replaced = (replaced != null) ? replaced : new StringBuilder(text);
			replaced.setCharAt(i, REPLACEMENT);
		}
		return (replaced != null) ? replaced.toString() : text;
	}

	private static ObjectNode object(JsonParser parser, int depth) throws IOException {
		ObjectNode node = NODES.objectNode();
		while (parser.nextToken() == JsonToken.FIELD_NAME) {
			String name = wellFormed(parser.currentName());
			node.set(name, value(parser, parser.nextToken(), depth));
		}
		return node;
	}

	private static ArrayNode array(JsonParser parser, int depth) throws IOException {
		ArrayNode node = NODES.arrayNode();
		for (JsonToken token = parser.nextToken(); token != JsonToken.END_ARRAY; token = parser.nextToken()) {
			node.add(value(parser, token, depth));
		}
		return node;
	}

	/**
	 * Write a tree.
	 * @param tree the tree
	 * @return the JSON text in UTF-8
	 */
	public static byte[] write(JsonNode tree) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (JsonGenerator generator = FACTORY.createGenerator(bytes)) {
			write(generator, tree);
		}
		catch (IOException ex) {
			throw new BrokenInvariant("writing JSON into memory failed: " + ex);
		}
		return bytes.toByteArray();
	}

	private static void write(JsonGenerator generator, JsonNode node) throws IOException {
		switch (node.getNodeType()) {
			case OBJECT -> {
				generator.writeStartObject();
				for (var entry : node.properties()) {
					generator.writeFieldName(entry.getKey());
					write(generator, entry.getValue());
				}
				generator.writeEndObject();
			}
			case ARRAY -> {
				generator.writeStartArray();
				for (JsonNode element : node) {
					write(generator, element);
				}
				generator.writeEndArray();
			}
			case STRING -> generator.writeString(node.textValue());
			case NUMBER -> generator.writeNumber(node.asText());
			case BOOLEAN -> generator.writeBoolean(node.booleanValue());
			default -> generator.writeNull();
		}
	}

}
