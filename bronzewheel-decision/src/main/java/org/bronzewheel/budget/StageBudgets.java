package org.bronzewheel.budget;

import java.util.List;
import java.util.OptionalLong;

/** The split of one deadline between the stages of a pipeline, renewed at each hop. */
public interface StageBudgets {
    /**
     * Takes the latency of an answered call, from its dispatch to its whole answer.
     *
     * @param key the stage and request class
     * @param latencyNanos the latency
     */
    void record(StageKey key, long latencyNanos);

    /**
     * Returns an observed quantile of a stage.
     *
     * @param key the stage and request class
     * @param quantile 0 to 1
     * @return the latency in nanoseconds, or empty where too little was observed
     */
    OptionalLong quantileNanos(StageKey key, double quantile);

    /**
     * Returns the time that stages need.
     *
     * @param stages the stages, in order
     * @return the sum in nanoseconds; unobserved ones count 0
     */
    long needNanos(List<StageKey> stages);

    /**
     * Returns what the first of the remaining stages may take of the remaining time.
     *
     * @param stages the remaining stages, in order, at least one
     * @param remainingNanos the time until the deadline
     * @return the budget in nanoseconds; the whole remaining time where a stage is unobserved
     */
    long budgetNanos(List<StageKey> stages, long remainingNanos);

    /**
     * Takes note that a request was refused by the estimate of its need alone. As refused requests
     * bring no observations, the estimate must fade, or it would refuse them for ever.
     *
     * @param stages the stages of the request
     */
    default void onRefused(List<StageKey> stages) {}
}
