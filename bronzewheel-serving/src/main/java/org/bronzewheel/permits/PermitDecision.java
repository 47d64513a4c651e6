package org.bronzewheel.permits;

/**
 * The decision of the owner of a limit on one request.
 *
 * @param granted whether the request may be sent now
 * @param retryAfterMillis the time after which a request of its rank would get a permit, in
 *     milliseconds
 * @param nextMillis the time until the next permit for any rank, in milliseconds
 */
public record PermitDecision(boolean granted, long retryAfterMillis, long nextMillis) {
    /** A granted permit. */
    public static final PermitDecision GRANTED = new PermitDecision(true, 0, 0);

    /**
     * Returns a refusal that applies to all ranks.
     *
     * @param nextMillis the time after which to ask again, in milliseconds
     * @return the refusal
     */
    public static PermitDecision refusedFor(long nextMillis) {
        return new PermitDecision(false, nextMillis, nextMillis);
    }
}
