package org.bronzewheel.serving;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RetryAfterTest {
    @ParameterizedTest
    @CsvSource({
        // excess, remaining, rank, point, wanted
        "0, 15000, 0, 0.0, 250",
        "-500, 15000, 0, 0.0, 250",
        "1000, 15000, 0, 0.0, 1250",
        "1000, 15000, 2, 0.5, 1650",
        "9000, 15000, 0, 0.0, 4500",
        "9000, 15000, 0, 1.0, 3375",
        "9000, 600, 0, 0.0, 250",
    })
    void aCallerRetriesWhenTheQueuesHaveDrainedButWithinAThirdOfItsTime(
            long excess, long remaining, int rank, double point, long wanted) {
        assertThat(RetryAfter.delayMillis(excess, 0, remaining, rank, point)).isEqualTo(wanted);
    }

    @Test
    void urgentCallersRetryFirstAndThoseOfOneRankAreSpreadOut() {
        assertThat(RetryAfter.delayMillis(500, 0, 15_000, 0, 0.3))
                .isLessThan(RetryAfter.delayMillis(500, 0, 15_000, 1, 0.3));
        assertThat(RetryAfter.delayMillis(500, 0, 15_000, 1, 0.3))
                .isNotEqualTo(RetryAfter.delayMillis(500, 0, 15_000, 1, 0.4));
    }

    // Guards against callers all retrying at once, when the first pause of an upstream ends.
    @Test
    void retriesAreSpreadFromTheFirstAvailableUpstreamToTheLastWithUrgentOnesSooner() {
        assertThat(RetryAfter.delayMillis(1_000, 2_000, 15_000, 0, 0.0)).isEqualTo(1_250);
        assertThat(RetryAfter.delayMillis(1_000, 2_000, 15_000, 0, 0.9)).isEqualTo(3_050);
        assertThat(RetryAfter.delayMillis(1_000, 2_000, 15_000, 1, 0.0)).isEqualTo(1_750);
    }

    // Guards against a retry that is refused again because it could not meet its objective yet.
    @Test
    void thereIsRoomForARequestOnceItIsAdmittedAndNotShed() {
        assertThat(RetryAfter.excessMillis(2_000, 1_500, 500, false)).isEqualTo(500);
        assertThat(RetryAfter.excessMillis(2_000, 1_500, 500, true)).isEqualTo(1_500);
        assertThat(RetryAfter.excessMillis(2_000, 400, 500, true)).isEqualTo(1_600);
    }
}
