package org.bronzewheel.answer;

/**
 * An entry of the answer table.
 *
 * @param answer the answer
 * @param bytes its encoded size, in bytes
 * @param storedNanos when it was stored, in nanoseconds of the monotonic clock
 * @param needsReplica whether this is an own answer that no peer has confirmed to hold
 */
record AnswerEntry(StoredAnswer answer, int bytes, long storedNanos, boolean needsReplica) {
    AnswerEntry asReplicated() {
        return new AnswerEntry(answer, bytes, storedNanos, false);
    }
}
