package org.bronzewheel.answer;

/**
 * The bounds of the answer memory.
 *
 * @param maxBytes the largest memory for answers, own ones and copies, in bytes
 * @param retentionMillis how long an answer is kept, in milliseconds
 * @param copies the number of peers that get a copy
 */
public record AnswerSettings(long maxBytes, long retentionMillis, int copies) {
    /** 32 MiB, ten minutes and two copies. */
    public static final AnswerSettings DEFAULT = new AnswerSettings(32L << 20, 600_000, 2);
}
