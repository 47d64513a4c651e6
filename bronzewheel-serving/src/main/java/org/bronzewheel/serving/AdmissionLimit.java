package org.bronzewheel.serving;

/**
 * The limit of the expected time to its upstream up to which a new request is admitted.
 *
 * <p>Queues are uncertain, so that they may take only a share of the time that the caller waits.
 * The work of the stages is known from the configuration: a request whose work takes most of the
 * time is admitted while the queues take little of the rest.
 */
final class AdmissionLimit {
    private static final double MAX_WAIT_SHARE = 0.6;
    private static final double MIN_QUEUE_SHARE = 0.25;

    private AdmissionLimit() {}

    /**
     * Returns the longest expected time of a request that is admitted.
     *
     * @param callerWaitMillis how long the caller waits for the first part of the response, in
     *     milliseconds
     * @param workMillis the part of the expected time that is not queueing, in milliseconds
     * @return the time in milliseconds
     */
    static double maxExpectedMillis(long callerWaitMillis, long workMillis) {
        return Math.max(
                MAX_WAIT_SHARE * callerWaitMillis,
                workMillis + MIN_QUEUE_SHARE * (callerWaitMillis - workMillis));
    }
}
