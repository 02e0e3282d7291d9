package org.acaciamux.internal.protocol;

import java.io.ByteArrayOutputStream;
import java.io.IOException;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.acaciamux.internal.BrokenInvariant;

/**
 * Reads and writes JSON trees with Jackson's streaming API only, because creating an
 * object mapper takes a third of a router's start time. Thread-safe; holds no state.
 */
public final class JsonTrees {

	private static final JsonFactory FACTORY = new JsonFactory();

	private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

	private JsonTrees() {
	}

	/**
	 * Read a tree.
	 * @param bytes one JSON value in UTF-8
	 * @return the tree
	 * @throws IOException if the bytes are not exactly one JSON value
	 */
	public static JsonNode read(byte[] bytes) throws IOException {
		try (JsonParser parser = FACTORY.createParser(bytes)) {
			JsonToken first = parser.nextToken();
			if (first == null) {
				throw new IOException("the JSON text is empty");
			}
			JsonNode tree = value(parser, first);
			if (parser.nextToken() != null) {
				throw new IOException("the text holds more than one JSON value");
			}
			return tree;
		}
	}

	private static JsonNode value(JsonParser parser, JsonToken token) throws IOException {
		return switch (token) {
			case START_OBJECT -> object(parser);
			case START_ARRAY -> array(parser);
			case VALUE_STRING -> NODES.textNode(parser.getText());
			case VALUE_NUMBER_INT -> (parser.getNumberType() != JsonParser.NumberType.BIG_INTEGER)
					? NODES.numberNode(parser.getLongValue()) : NODES.numberNode(parser.getBigIntegerValue());
			case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
			case VALUE_TRUE -> NODES.booleanNode(true);
			case VALUE_FALSE -> NODES.booleanNode(false);
			case VALUE_NULL -> NODES.nullNode();
			default -> throw new IOException("unexpected " + token + " in JSON");
		};
	}

	private static ObjectNode object(JsonParser parser) throws IOException {
		ObjectNode node = NODES.objectNode();
		while (parser.nextToken() == JsonToken.FIELD_NAME) {
			String name = parser.currentName();
			node.set(name, value(parser, parser.nextToken()));
		}
		return node;
	}

	private static ArrayNode array(JsonParser parser) throws IOException {
		ArrayNode node = NODES.arrayNode();
		for (JsonToken token = parser.nextToken(); token != JsonToken.END_ARRAY; token = parser.nextToken()) {
			node.add(value(parser, token));
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
