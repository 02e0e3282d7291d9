package org.acaciamux.internal.transport.http.direct;

import org.acaciamux.internal.event.LogText;

/**
 * A response that is not passed on, for the log. Immutable.
 *
 * @param status its status
 * @param match how its attempt id relates to the requests of the connection
 * @param reply what the server states in its headers
 */
record DroppedResponse(int status, AttemptMatch match, WireFormat.ServerReply reply) {

	/**
	 * Describe the response in the list of those that a send skipped.
	 * @return status, match and, if it is not the one of the request, attempt id
	 */
	String inList() {
		boolean named = this.match == AttemptMatch.EARLIER || this.match == AttemptMatch.OTHER;
		return this.status + ":" + this.match.label() + (named ? ":" + attemptId() : "");
	}

	/**
	 * Describe the response as fields of a line.
	 * @return the fields, preceded by a space
	 */
	String inFields() {
		return " status=" + this.status + " attempt=" + this.match.label() + " id=" + attemptId() + " sealed="
				+ this.reply.sealed();
	}

	private String attemptId() {
		return LogText.id(String.join("+", this.reply.attemptIds()));
	}

}
