package org.bronzewheel.serving;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import org.bronzewheel.catalog.RepeatRule;
import org.bronzewheel.catalog.StageStep;
import org.junit.jupiter.api.Test;

class StageProgressTest {
    private static final ToLongFunction<String> MILLIS =
            Map.of("roster", 1_000L, "registry", 100L, "shop", 10L)::get;

    private static StageProgress progress(List<Integer> pieces) {
        return new StageProgress(
                World.route(
                        RepeatRule.IDEMPOTENT,
                        true,
                        2,
                        List.of(
                                new StageStep("roster", List.of(), 800_000),
                                new StageStep("roster", List.of(), 8_000),
                                new StageStep("registry", List.of(1), 60_000),
                                new StageStep("shop", List.of(2), 6_000))),
                pieces);
    }

    // Guards against requests whose second visit to a service with a queue is not expected.
    @Test
    void aStageThatIsHeldBackCountsAfterTheStagesThatItWaitsFor() {
        assertThat(progress(List.of(2, 1, 4, 6)).remainingMillis(MILLIS)).isEqualTo(2_000);
        assertThat(progress(List.of(2, 1, 4, 6)).millisAfter(1, MILLIS)).isEqualTo(1_000);
    }

    @Test
    void aStageThatIsLeftOutTakesNoTime() {
        assertThat(progress(List.of(0, 1, 4, 6)).remainingMillis(MILLIS)).isEqualTo(1_110);
        assertThat(progress(List.of(0, 1, 4, 6)).millisAfter(1, MILLIS)).isEqualTo(110);
        assertThat(progress(List.of(0, 1, 4, 6)).millisAfter(3, MILLIS)).isEqualTo(0);
    }

    @Test
    void theStageThatIsHeldBackBeginsWhenItIsExpectedTo() {
        StageProgress progress = progress(List.of(2, 1, 4, 6));
        assertThat(progress.begin()).containsExactly(1);
        progress.done(1, List.of());
        assertThat(progress.begin()).containsExactly(0, 2);
    }
}
