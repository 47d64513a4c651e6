package org.bronzewheel.permits;

/**
 * What the keeper of a limit decides of one request.
 *
 * @param granted whether the request may be sent now
 * @param retryAfterMillis the time after which a request of its rank would have a permit, in
 *     milliseconds
 * @param nextMillis the time until the next permit for any rank, in milliseconds
 */
public record PermitDecision(boolean granted, long retryAfterMillis, long nextMillis) {
    /** A permit. */
    public static final PermitDecision GRANTED = new PermitDecision(true, 0, 0);

    /**
     * Returns a refusal for all ranks.
     *
     * @param nextMillis the time after which it may be worth asking again, in milliseconds
     * @return the refusal
     */
    public static PermitDecision refusedFor(long nextMillis) {
        return new PermitDecision(false, nextMillis, nextMillis);
    }
}
