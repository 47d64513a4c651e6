package org.bronzewheel.shares;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

class RankSharesTest {
    private static final int BATCH = 8;

    private final RankShares shares = new RankShares();

    @Test
    void halfOfTheCapacityIsGuaranteedInProportionToDemand() {
        shares.recordDemand(0, 10, 100);
        shares.recordDemand(2, 30, 100);
        assertThat(shares.guaranteedShare(0, 100)).isWithin(1e-9).of(0.125);
        assertThat(shares.guaranteedShare(2, 100)).isWithin(1e-9).of(0.375);
        assertThat(shares.guaranteedShare(1, 100)).isEqualTo(0.0);
    }

    @Test
    void aRefusedRequestCountsHalfAsItsCallerIsExpectedToRetry() {
        shares.recordDemand(0, 10, 100);
        shares.recordDemand(2, 20, 100);
        shares.recordRefusal(2, 20, 100, 100);
        assertThat(shares.guaranteedShare(2, 100)).isWithin(1e-9).of(0.25);
    }

    // Removing the full demand of a job that was given up after a long wait made the demand
    // negative.
    @Test
    void aLateRefusalRemovesOnlyTheDecayedDemand() {
        shares.recordDemand(0, 10, 0);
        shares.recordDemand(2, 20, 0);
        shares.recordRefusal(2, 20, 0, 9_000);
        assertThat(shares.guaranteedShare(2, 9_000)).isWithin(1e-9).of(0.25);
        assertThat(shares.guaranteedShare(0, 9_000)).isWithin(1e-9).of(0.25);
    }

    @Test
    void olderDemandCountsLess() {
        shares.recordDemand(0, 10, 0);
        shares.recordDemand(2, 10, 30_000);
        assertThat(shares.guaranteedShare(2, 30_000)).isGreaterThan(0.49);
    }

    @Test
    void aRankEarnsCreditWhileOthersAreServedAndSpendsItWhenServed() {
        shares.recordDemand(0, 10, 0);
        shares.recordDemand(2, 10, 0);
        shares.recordServed(Map.of(0, 8), BATCH, 0);
        assertThat(shares.credit(2)).isWithin(1e-9).of(2);
        assertThat(shares.credit(0)).isEqualTo(0.0);
        shares.recordServed(Map.of(0, 6, 2, 2), BATCH, 0);
        assertThat(shares.credit(2)).isWithin(1e-9).of(2);
        shares.recordServed(Map.of(2, 8), BATCH, 0);
        assertThat(shares.credit(2)).isEqualTo(0.0);
    }

    @Test
    void creditIsLimitedToHalfACall() {
        shares.recordDemand(0, 1, 0);
        shares.recordDemand(2, 100, 0);
        for (int i = 0; i < 10; i++) {
            shares.recordServed(Map.of(0, 8), BATCH, 0);
        }
        assertThat(shares.credit(2)).isEqualTo(4.0);
    }
}
