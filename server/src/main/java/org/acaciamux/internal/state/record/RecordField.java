package org.acaciamux.internal.state.record;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The rule for one field of a record's {@code spec}. Immutable and thread-safe.
 *
 * @param name the name by which the code reads the field, the same in all schema versions
 * @param path the path below {@code spec} in this schema version, one or two names
 * @param type the type
 * @param min the lowest number allowed, or the number below the lowest one if
 * {@code aboveMin}
 * @param max the highest number allowed
 * @param aboveMin whether {@code min} itself is not allowed
 * @param example a valid value as YAML
 */
record RecordField(String name, String path, Type type, double min, double max, boolean aboveMin, String example) {

	/** Maximum length of strings in characters and of lists in items. */
	static final int MAX_LENGTH = 256;

	static RecordField flag(String name, String example) {
		return new RecordField(name, name, Type.BOOLEAN, 0, 0, false, example);
	}

	static RecordField whole(String name, long min, long max, String example) {
		return new RecordField(name, name, Type.WHOLE, min, max, false, example);
	}

	static RecordField number(String name, double min, double max, String example) {
		return new RecordField(name, name, Type.NUMBER, min, max, false, example);
	}

	static RecordField numberAbove(String name, double min, double max, String example) {
		return new RecordField(name, name, Type.NUMBER, min, max, true, example);
	}

	static RecordField text(String name, String example) {
		return new RecordField(name, name, Type.TEXT, 0, 0, false, example);
	}

	static RecordField texts(String name, String example) {
		return new RecordField(name, name, Type.TEXTS, 0, 0, false, example);
	}

	RecordField withPath(String newPath) {
		return new RecordField(this.name, newPath, this.type, this.min, this.max, this.aboveMin, this.example);
	}

	String group() {
		int dot = this.path.indexOf('.');
		return (dot < 0) ? "" : this.path.substring(0, dot);
	}

	String leaf() {
		return this.path.substring(this.path.indexOf('.') + 1);
	}

	/**
	 * Check a value.
	 * @param value the value
	 * @return the problem, or empty if the value is valid
	 */
	Optional<RecordProblem> check(JsonNode value) {
		if (!this.type.matches(value)) {
			return problem(
					"must be " + this.type.description + rangeDescription() + ", but is " + abbreviate(value) + ".");
		}
		if (isNumber() && !inRange(value.doubleValue())) {
			return problem("must be" + rangeDescription() + ", but is " + abbreviate(value) + ".");
		}
		return Optional.empty();
	}

	private boolean isNumber() {
		return this.type == Type.WHOLE || this.type == Type.NUMBER;
	}

	private boolean inRange(double value) {
		boolean highEnough = this.aboveMin ? value > this.min : value >= this.min;
		return highEnough && value <= this.max;
	}

	private String rangeDescription() {
		if (!isNumber()) {
			return "";
		}
		String low = this.aboveMin ? " above " : " from ";
		return low + format(this.min) + " to " + format(this.max);
	}

	private String format(double value) {
		return (this.type == Type.WHOLE) ? Long.toString((long) value) : Double.toString(value);
	}

	private Optional<RecordProblem> problem(String message) {
		return Optional.of(new RecordProblem("spec." + this.path, message, leaf() + ": " + this.example));
	}

	private static String abbreviate(JsonNode value) {
		String text = value.toString();
		return (text.length() <= 60) ? text : text.substring(0, 60) + "...";
	}

	/**
	 * Type of a field's value.
	 */
	enum Type {

		BOOLEAN("true or false") {
			@Override
			boolean matches(JsonNode value) {
				return value.isBoolean();
			}
		},

		WHOLE("a whole number") {
			@Override
			boolean matches(JsonNode value) {
				return value.isIntegralNumber() && value.canConvertToLong();
			}
		},

		NUMBER("a number") {
			@Override
			boolean matches(JsonNode value) {
				return value.isNumber() && Double.isFinite(value.doubleValue());
			}
		},

		TEXT("a string of at most " + MAX_LENGTH + " characters") {
			@Override
			boolean matches(JsonNode value) {
				return value.isTextual() && value.textValue().length() <= MAX_LENGTH;
			}
		},

		TEXTS("a list of at most " + MAX_LENGTH + " strings") {
			@Override
			boolean matches(JsonNode value) {
				if (!value.isArray() || value.size() > MAX_LENGTH) {
					return false;
				}
				for (JsonNode item : value) {
					if (!TEXT.matches(item)) {
						return false;
					}
				}
				return true;
			}
		};

		private final String description;

		Type(String description) {
			this.description = description;
		}

		abstract boolean matches(JsonNode value);

	}

}
