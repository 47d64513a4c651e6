package org.bronzewheel.request;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class OutcomeTest {
    @ParameterizedTest
    @CsvSource({
        "ANSWERED, true, false",
        "ANSWERED, false, false",
        "NOT_RUN, true, true",
        "NOT_RUN, false, true",
        "FAILED, true, true",
        "FAILED, false, false",
        "UNKNOWN, true, true",
        "UNKNOWN, false, false"
    })
    void nonIdempotentWorkIsRetriedOnlyIfItDidNotRun(
            Outcome outcome, boolean idempotent, boolean retried) {
        assertThat(outcome.mayBeRetried(idempotent)).isEqualTo(retried);
    }
}
