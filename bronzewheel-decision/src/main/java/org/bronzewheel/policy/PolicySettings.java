package org.bronzewheel.policy;

import org.bronzewheel.routing.RoutingSettings;

/**
 * Settings of the policies.
 *
 * @param routing settings of the worker choice
 * @param maxQueuedPerClass the maximum number of queued work items per request class and pool
 * @param refusesInfeasible whether work that cannot meet its deadline is refused and dropped
 * @param headroom the maximum load of a worker relative to its concurrency
 * @param firstPriorityHeadroom the maximum relative load of a worker for work of priority 0
 * @param hedgeQuantile the quantile of the observed latencies after which a call is hedged
 * @param maxAttempts the maximum number of attempts per stage, not counting hedges
 * @param retriesPerSuccess the number of retries that one success adds to the retry budget
 * @param maxSavedRetries the maximum balance of the retry budget
 * @param maxSavedExtraCostNanos the maximum balance of the extra cost budget of a request class, in
 *     worker nanoseconds
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
     * Returns the default settings.
     *
     * @return the settings
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
     * Returns a copy with one setting changed.
     *
     * @param value settings of the worker choice
     * @return the settings
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
     * Returns a copy with one setting changed.
     *
     * @param value whether work that cannot meet its deadline is refused and dropped
     * @return the settings
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
     * Returns a copy with one setting changed.
     *
     * @param value the maximum load of a worker relative to its concurrency
     * @return the settings
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
     * Returns a copy with one setting changed.
     *
     * @param value the maximum relative load of a worker for work of priority 0
     * @return the settings
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
     * Returns a copy with one setting changed.
     *
     * @param value the maximum number of attempts per stage
     * @return the settings
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
