package org.bronzewheel.budget;

import java.util.List;
import java.util.OptionalLong;

/**
 * Splits a request deadline between the stages of a pipeline; the split is recomputed at each
 * stage.
 */
public interface StageBudgets {
    /**
     * Records the latency of an answered call, from dispatch to the complete response.
     *
     * @param key the stage and request class
     * @param latencyNanos the latency
     */
    void record(StageKey key, long latencyNanos);

    /**
     * Returns a quantile of the observed latencies of a stage.
     *
     * @param key the stage and request class
     * @param quantile the quantile, from 0 to 1
     * @return the latency in nanoseconds, or empty if there are too few observations
     */
    OptionalLong quantileNanos(StageKey key, double quantile);

    /**
     * Returns the expected total time of the given stages.
     *
     * @param stages the stages, in order
     * @return the sum in nanoseconds; stages without observations count as 0
     */
    long needNanos(List<StageKey> stages);

    /**
     * Returns the part of the remaining time that the first of the remaining stages may use.
     *
     * @param stages the remaining stages, in order, at least one
     * @param remainingNanos the time until the deadline
     * @return the budget in nanoseconds; the whole remaining time if a stage has no observations
     */
    long budgetNanos(List<StageKey> stages, long remainingNanos);

    /**
     * Records that a request was refused only because of its expected time. Refused requests
     * produce no observations, so the estimate must decay or it would refuse such requests forever.
     *
     * @param stages the stages of the request
     */
    default void onRefused(List<StageKey> stages) {}
}
