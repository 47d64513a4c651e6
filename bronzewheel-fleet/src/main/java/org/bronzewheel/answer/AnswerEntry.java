package org.bronzewheel.answer;

/**
 * An answer in memory.
 *
 * @param answer the answer
 * @param bytes its encoded size, in bytes
 * @param keptNanos when it was kept, in nanoseconds
 * @param needsCopy whether no peer has confirmed a copy of this own answer yet
 */
record AnswerEntry(StoredAnswer answer, int bytes, long keptNanos, boolean needsCopy) {
    AnswerEntry copied() {
        return new AnswerEntry(answer, bytes, keptNanos, false);
    }
}
