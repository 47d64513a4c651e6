package org.bronzewheel.policy;

import org.bronzewheel.routing.RoutingSettings;

/**
 * Constants of the policies.
 *
 * @param routing constants of the choice of a worker
 * @param maxQueuedPerClass work that may wait in one request class of one pool
 * @param refusesInfeasible whether work that cannot be in time is refused and dropped
 * @param headroom the load that a worker may be given relative to its concurrency
 * @param firstPriorityHeadroom the same for work of priority 0
 * @param hedgeQuantile the observed quantile of latency after which a call is hedged
 * @param maxAttempts the largest number of attempts of one stage, hedges not counted
 * @param retriesPerSuccess retries that one success allows
 * @param maxSavedRetries retries that can be saved up
 * @param maxSavedExtraCostNanos extra cost that a request class can save up, in worker nanoseconds
 */
public record PolicySettings(
        RoutingSettings routing,
        int maxQueuedPerClass,
        boolean refusesInfeasible,
        double headroom,
        double firstPriorityHeadroom,
        double hedgeQuantile,
        int maxAttempts,
        double retriesPerSuccess,
        double maxSavedRetries,
        double maxSavedExtraCostNanos) {
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Returns the usual constants.
     *
     * @return the constants
     */
    public static PolicySettings defaults() {
        return new PolicySettings(
                RoutingSettings.defaults(),
                2_000,
                true,
                1.0,
                1.5,
                0.97,
                3,
                0.1,
                50,
                10 * NANOS_PER_SECOND);
    }

    /**
     * Returns the same constants but one.
     *
     * @param value constants of the choice of a worker
     * @return the constants
     */
    public PolicySettings withRouting(RoutingSettings value) {
        return new PolicySettings(
                value,
                maxQueuedPerClass,
                refusesInfeasible,
                headroom,
                firstPriorityHeadroom,
                hedgeQuantile,
                maxAttempts,
                retriesPerSuccess,
                maxSavedRetries,
                maxSavedExtraCostNanos);
    }

    /**
     * Returns the same constants but one.
     *
     * @param value whether work that cannot be in time is refused and dropped
     * @return the constants
     */
    public PolicySettings withRefusesInfeasible(boolean value) {
        return new PolicySettings(
                routing,
                maxQueuedPerClass,
                value,
                headroom,
                firstPriorityHeadroom,
                hedgeQuantile,
                maxAttempts,
                retriesPerSuccess,
                maxSavedRetries,
                maxSavedExtraCostNanos);
    }

    /**
     * Returns the same constants but one.
     *
     * @param value the load that a worker may be given relative to its concurrency
     * @return the constants
     */
    public PolicySettings withHeadroom(double value) {
        return new PolicySettings(
                routing,
                maxQueuedPerClass,
                refusesInfeasible,
                value,
                firstPriorityHeadroom,
                hedgeQuantile,
                maxAttempts,
                retriesPerSuccess,
                maxSavedRetries,
                maxSavedExtraCostNanos);
    }

    /**
     * Returns the same constants but one.
     *
     * @param value the same for work of priority 0
     * @return the constants
     */
    public PolicySettings withFirstPriorityHeadroom(double value) {
        return new PolicySettings(
                routing,
                maxQueuedPerClass,
                refusesInfeasible,
                headroom,
                value,
                hedgeQuantile,
                maxAttempts,
                retriesPerSuccess,
                maxSavedRetries,
                maxSavedExtraCostNanos);
    }

    /**
     * Returns the same constants but one.
     *
     * @param value the largest number of attempts of one stage
     * @return the constants
     */
    public PolicySettings withMaxAttempts(int value) {
        return new PolicySettings(
                routing,
                maxQueuedPerClass,
                refusesInfeasible,
                headroom,
                firstPriorityHeadroom,
                hedgeQuantile,
                value,
                retriesPerSuccess,
                maxSavedRetries,
                maxSavedExtraCostNanos);
    }
}
