package org.bronzewheel.admission;

import org.bronzewheel.rules.RequestClass;

/**
 * What a piece of work asks of a queue.
 *
 * @param requestClass its request class
 * @param workspace the workspace of its caller
 * @param deadlineNanos when its whole answer is due
 * @param needNanos the time from its dispatch to the whole answer, later stages included, 0 where
 *     unknown
 * @param cost the work it asks of the pool, in worker nanoseconds, above 0
 */
public record AdmissionRequest(
        RequestClass requestClass,
        String workspace,
        long deadlineNanos,
        long needNanos,
        double cost) {
    /**
     * Returns the last moment at which a dispatch can still be in time.
     *
     * @return the time in nanoseconds
     */
    public long latestStartNanos() {
        return deadlineNanos - needNanos;
    }
}
