package org.bronzewheel.measure;

import java.util.List;
import java.util.OptionalLong;
import org.bronzewheel.budget.ObservedStageBudgets;
import org.bronzewheel.budget.StageBudgets;
import org.bronzewheel.budget.StageKey;

/** A baseline that gives each remaining stage the same part of the remaining time. */
final class FixedStageBudgets implements StageBudgets {
    private final StageBudgets observed = new ObservedStageBudgets();

    @Override
    public void record(StageKey key, long latencyNanos) {
        observed.record(key, latencyNanos);
    }

    @Override
    public OptionalLong quantileNanos(StageKey key, double quantile) {
        return observed.quantileNanos(key, quantile);
    }

    @Override
    public long needNanos(List<StageKey> stages) {
        return 0;
    }

    @Override
    public long budgetNanos(List<StageKey> stages, long remainingNanos) {
        return remainingNanos / stages.size();
    }
}
