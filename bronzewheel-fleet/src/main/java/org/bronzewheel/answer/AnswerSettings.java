package org.bronzewheel.answer;

/**
 * Limits of the answer store.
 *
 * @param maxBytes the maximum size of all stored answers including replicas, in bytes
 * @param retentionMillis how long an answer is retained, in milliseconds
 * @param copies the number of replicas on peers
 */
public record AnswerSettings(long maxBytes, long retentionMillis, int copies) {
    /** 32 MiB, ten minutes and two replicas. */
    public static final AnswerSettings DEFAULT = new AnswerSettings(32L << 20, 600_000, 2);
}
