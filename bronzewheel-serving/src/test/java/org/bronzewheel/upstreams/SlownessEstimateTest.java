package org.bronzewheel.upstreams;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class SlownessEstimateTest {
    private final SlownessEstimate estimate = new SlownessEstimate();

    private void sample(double ratio, int times, long firstMillis) {
        for (int i = 0; i < times; i++) {
            estimate.sample(ratio, firstMillis + i * 1_000L);
        }
    }

    @Test
    void withoutSamplesAnUpstreamIsAsUsual() {
        assertThat(estimate.slowness(5_000)).isEqualTo(1.0);
    }

    // Guards against an engine of little more than half the usual speed that counts as usual.
    @Test
    void samplesOfOneSlowUpstreamConverge() {
        sample(1.8, 30, 0);
        assertThat(estimate.slowness(30_000)).isWithin(0.15).of(1.8);
    }

    @Test
    void aFasterUpstreamConvergesToo() {
        sample(0.8, 30, 0);
        assertThat(estimate.slowness(30_000)).isWithin(0.05).of(0.8);
    }

    // Guards against a verdict that outlasts its evidence: such an upstream would get no requests
    // and so never show that it has recovered.
    @Test
    void withoutNewSamplesTheEstimateReturnsToUsual() {
        sample(3, 30, 0);
        assertThat(estimate.slowness(900_000)).isWithin(0.01).of(1);
    }

    // Guards against a stall of seconds, or one wait behind other callers, that sends everything
    // elsewhere.
    @Test
    void oneOutlierHasLittleInfluence() {
        sample(1, 20, 0);
        estimate.sample(1_000, 20_000);
        assertThat(estimate.slowness(20_000)).isLessThan(1.1);
    }

    @Test
    void oneSampleIsNotBelieved() {
        estimate.sample(1_000, 0);
        assertThat(estimate.slowness(0)).isLessThan(1.5);
    }

    // The share of 0.15 of the time in which work takes 2.5 times as long is the stated noise.
    @Test
    void temporarySlownessCountsForItsShareOfTheTime() {
        for (int i = 0; i < 100; i++) {
            estimate.sample(i % 20 < 3 ? 2.5 : 1, i * 1_000L);
        }
        assertThat(estimate.slowness(100_000)).isWithin(0.15).of(1.15);
    }
}
