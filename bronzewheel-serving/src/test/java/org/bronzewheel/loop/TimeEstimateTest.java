package org.bronzewheel.loop;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class TimeEstimateTest {
    private final TimeEstimate estimate = new TimeEstimate();

    @Test
    void withoutSamplesTheDefaultIsReturned() {
        assertThat(estimate.millisOr(240)).isEqualTo(240.0);
    }

    @Test
    void steadySamplesGiveTheirMean() {
        for (int i = 0; i < 50; i++) {
            estimate.sample(400);
        }
        assertThat(estimate.millisOr(240)).isEqualTo(400.0);
    }

    @Test
    void spreadSamplesGiveATimeThatMostOfThemDoNotExceed() {
        for (int i = 0; i < 100; i++) {
            estimate.sample(i % 2 == 0 ? 300 : 500);
        }
        assertThat(estimate.millisOr(240)).isGreaterThan(500.0);
        assertThat(estimate.millisOr(240)).isLessThan(700.0);
    }
}
