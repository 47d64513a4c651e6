package org.bronzewheel.budget;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class StageBudgetsTest {
    private static final long MILLI = 1_000_000L;
    private static final StageKey SHORT = new StageKey("p", "short", "c");
    private static final StageKey LONG = new StageKey("p", "long", "c");

    private final StageBudgets budgets = new ObservedStageBudgets();

    @Test
    void stageWithoutObservationsHasNoExpectedTimeAndGetsAllRemainingTime() {
        assertThat(budgets.needNanos(List.of(SHORT, LONG))).isEqualTo(0);
        assertThat(budgets.budgetNanos(List.of(SHORT, LONG), 900)).isEqualTo(900);
        assertThat(budgets.quantileNanos(SHORT, 0.5)).isEmpty();
    }

    @Test
    void remainingTimeIsSplitInProportionToObservedLatencies() {
        observe(SHORT, 10 * MILLI);
        observe(LONG, 30 * MILLI);
        double budget = budgets.budgetNanos(List.of(SHORT, LONG), 1_000 * MILLI);
        assertThat(budget / MILLI).isWithin(25).of(250);
        assertThat(budgets.budgetNanos(List.of(LONG), 700 * MILLI)).isEqualTo(700 * MILLI);
    }

    @Property(seed = "1", tries = 100)
    void medianOfEqualObservationsIsWithinOneBucket(
            @ForAll @LongRange(min = 1_000_000, max = 60_000_000_000L) long latencyNanos) {
        StageBudgets fresh = new ObservedStageBudgets();
        for (int i = 0; i < 50; i++) {
            fresh.record(SHORT, latencyNanos);
        }
        double ratio = (double) fresh.quantileNanos(SHORT, 0.5).orElseThrow() / latencyNanos;
        assertThat(ratio).isWithin(0.11).of(1);
    }

    @Test
    void oldObservationsDecay() {
        for (int i = 0; i < 1_000; i++) {
            budgets.record(SHORT, 1_000 * MILLI);
        }
        for (int i = 0; i < 20_000; i++) {
            budgets.record(SHORT, 10 * MILLI);
        }
        assertThat(budgets.quantileNanos(SHORT, 0.99).orElseThrow()).isLessThan(20 * MILLI);
    }

    private void observe(StageKey key, long latencyNanos) {
        for (int i = 0; i < 100; i++) {
            budgets.record(key, latencyNanos);
        }
    }
}
