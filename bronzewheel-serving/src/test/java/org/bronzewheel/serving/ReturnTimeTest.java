package org.bronzewheel.serving;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ReturnTimeTest {
    @ParameterizedTest
    @CsvSource({
        // excess, left, rank, point, wanted
        "0, 15000, 0, 0.0, 250",
        "-500, 15000, 0, 0.0, 250",
        "1000, 15000, 0, 0.0, 1250",
        "1000, 15000, 2, 0.5, 1650",
        "9000, 15000, 0, 0.0, 4500",
        "9000, 15000, 0, 1.0, 3375",
        "9000, 600, 0, 0.0, 250",
    })
    void aCallerReturnsWhenTheQueuesHaveDrainedButWithinAThirdOfItsTime(
            long excess, long left, int rank, double point, long wanted) {
        assertThat(ReturnTime.afterMillis(excess, 0, left, rank, point)).isEqualTo(wanted);
    }

    @Test
    void urgentCallersReturnFirstAndThoseOfARankNotTogether() {
        assertThat(ReturnTime.afterMillis(500, 0, 15_000, 0, 0.3))
                .isLessThan(ReturnTime.afterMillis(500, 0, 15_000, 1, 0.3));
        assertThat(ReturnTime.afterMillis(500, 0, 15_000, 1, 0.3))
                .isNotEqualTo(ReturnTime.afterMillis(500, 0, 15_000, 1, 0.4));
    }

    // Guards against callers that all return to the upstream whose pause ends first.
    @Test
    void callersReturnSpreadFromTheFirstOpeningToTheLastAndUrgentOnesSooner() {
        assertThat(ReturnTime.afterMillis(1_000, 2_000, 15_000, 0, 0.0)).isEqualTo(1_250);
        assertThat(ReturnTime.afterMillis(1_000, 2_000, 15_000, 0, 0.9)).isEqualTo(3_050);
        assertThat(ReturnTime.afterMillis(1_000, 2_000, 15_000, 1, 0.0)).isEqualTo(1_750);
    }
}
