package org.bronzewheel.serving;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.function.IntToLongFunction;
import org.bronzewheel.catalog.RetryRule;
import org.bronzewheel.catalog.StageStep;
import org.junit.jupiter.api.Test;

class StageProgressTest {
    private static final IntToLongFunction MILLIS = List.of(1_000L, 1_000L, 100L, 10L)::get;

    private static StageProgress progress(List<Integer> pieces) {
        return new StageProgress(
                ServingHarness.route(
                        RetryRule.IDEMPOTENT,
                        true,
                        2,
                        List.of(
                                new StageStep("roster", List.of(), 800_000),
                                new StageStep("roster", List.of(), 8_000),
                                new StageStep("registry", List.of(1), 60_000),
                                new StageStep("shop", List.of(2), 6_000))),
                pieces);
    }

    // Guards against estimates that omit the second use of a service with a queue by one request.
    @Test
    void aDeferredStageCountsAfterTheStagesItWaitsFor() {
        assertThat(progress(List.of(2, 1, 4, 6)).remainingMillis(MILLIS)).isEqualTo(2_000);
        assertThat(progress(List.of(2, 1, 4, 6)).millisAfter(1, MILLIS)).isEqualTo(1_000);
    }

    @Test
    void anOmittedStageTakesNoTime() {
        assertThat(progress(List.of(0, 1, 4, 6)).remainingMillis(MILLIS)).isEqualTo(1_110);
        assertThat(progress(List.of(0, 1, 4, 6)).millisAfter(1, MILLIS)).isEqualTo(110);
        assertThat(progress(List.of(0, 1, 4, 6)).millisAfter(3, MILLIS)).isEqualTo(0);
    }

    @Test
    void aDeferredStageStartsWhenTheEstimateExpectsIt() {
        StageProgress progress = progress(List.of(2, 1, 4, 6));
        assertThat(progress.startReady()).containsExactly(1);
        progress.complete(1, List.of());
        assertThat(progress.startReady()).containsExactly(0, 2);
    }

    // Guards against requests that fail with a stack overflow, as the order of the stages of their
    // route is not that of their numbers.
    @Test
    void aStageThatIsListedAfterThoseThatNeedItRunsBeforeThem() {
        StageProgress progress =
                new StageProgress(
                        ServingHarness.route(
                                RetryRule.IDEMPOTENT,
                                true,
                                2,
                                List.of(
                                        new StageStep("roster", List.of(3), 8_000),
                                        new StageStep("registry", List.of(0), 60_000),
                                        new StageStep("shop", List.of(1), 6_000),
                                        new StageStep("roster", List.of(), 800_000))),
                        List.of(1, 4, 6, 2));
        IntToLongFunction millis = List.of(1_000L, 100L, 10L, 1_000L)::get;
        assertThat(progress.remainingMillis(millis)).isEqualTo(2_110);
        assertThat(progress.millisAfter(3, millis)).isEqualTo(1_110);
        for (int stage : List.of(3, 0, 1, 2)) {
            assertThat(progress.startReady()).containsExactly(stage);
            progress.complete(stage, List.of());
        }
        assertThat(progress.isComplete()).isTrue();
    }
}
