package org.bronzewheel.budget;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Splits a deadline between stages in proportion to their observed latencies.
 *
 * <p>Until a stage has enough observations, its expected time is 0 and its budget is the whole
 * remaining time, so that requests are admitted after a cold start. Not thread-safe.
 */
public final class ObservedStageBudgets implements StageBudgets {
    private static final int MIN_OBSERVATIONS = 8;
    private static final double NEED_QUANTILE = 0.5;
    private static final double SPLIT_QUANTILE = 0.95;

    private final Map<StageKey, LatencyDigest> digests = new HashMap<>();

    @Override
    public void record(StageKey key, long latencyNanos) {
        digests.computeIfAbsent(key, k -> new LatencyDigest()).record(latencyNanos);
    }

    @Override
    public OptionalLong quantileNanos(StageKey key, double quantile) {
        LatencyDigest digest = digests.get(key);
        if (digest == null || digest.weight() < MIN_OBSERVATIONS) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(digest.quantileNanos(quantile));
    }

    @Override
    public long needNanos(List<StageKey> stages) {
        return sum(stages, NEED_QUANTILE);
    }

    @Override
    public long budgetNanos(List<StageKey> stages, long remainingNanos) {
        OptionalLong first = quantileNanos(stages.get(0), SPLIT_QUANTILE);
        boolean allObserved =
                stages.stream().allMatch(s -> quantileNanos(s, SPLIT_QUANTILE).isPresent());
        if (first.isEmpty() || !allObserved) {
            return remainingNanos;
        }
        double part = (double) first.getAsLong() / sum(stages, SPLIT_QUANTILE);
        return (long) (remainingNanos * part);
    }

    @Override
    public void onRefused(List<StageKey> stages) {
        for (StageKey stage : stages) {
            LatencyDigest digest = digests.get(stage);
            if (digest != null) {
                digest.decayAfterRefusal();
            }
        }
    }

    private long sum(List<StageKey> stages, double quantile) {
        long sum = 0;
        for (StageKey stage : stages) {
            sum += quantileNanos(stage, quantile).orElse(0);
        }
        return sum;
    }
}
