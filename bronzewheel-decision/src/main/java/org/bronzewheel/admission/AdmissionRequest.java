package org.bronzewheel.admission;

import org.bronzewheel.rules.RequestClass;

/**
 * The attributes by which a work item is admitted and ordered.
 *
 * @param requestClass its request class
 * @param workspace the workspace of the caller
 * @param deadlineNanos the deadline for the complete response
 * @param needNanos the expected time from dispatch to the complete response, including later
 *     stages, 0 if unknown
 * @param cost the expected cost to the pool in worker nanoseconds, above 0
 */
public record AdmissionRequest(
        RequestClass requestClass,
        String workspace,
        long deadlineNanos,
        long needNanos,
        double cost) {
    /**
     * Returns the latest dispatch time that still meets the deadline.
     *
     * @return the time in nanoseconds
     */
    public long latestStartNanos() {
        return deadlineNanos - needNanos;
    }
}
