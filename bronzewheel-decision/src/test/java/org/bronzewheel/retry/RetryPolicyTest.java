package org.bronzewheel.retry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.bronzewheel.request.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RetryPolicyTest {
    @ParameterizedTest(name = "{0} idempotent={1} attempts={2} remaining={3} need={4}: {5}")
    @CsvSource({
        "NOT_RUN,  false, 1, 100, 10, true",
        "UNKNOWN,  false, 1, 100, 10, false",
        "FAILED,   false, 1, 100, 10, false",
        "ANSWERED, true,  1, 100, 10, false",
        "UNKNOWN,  true,  1, 100, 10, true",
        "FAILED,   true,  1, 100, 10, true",
        "FAILED,   true,  3, 100, 10, false",
        "NOT_RUN,  true,  3, 100, 10, true",
        "FAILED,   true,  1, 10,  10, false",
        "FAILED,   true,  1, 0,   0,  false",
        "NOT_RUN,  true,  1, -5,  0,  false",
    })
    void retryIsAllowedOnlyIfSafeAndWithinTheDeadline(
            Outcome outcome,
            boolean idempotent,
            int attempts,
            long remainingNanos,
            long needNanos,
            boolean expected) {
        RetryPolicy policy = new RetryPolicy(3, new RetryBudget(0.1, 10));
        assertThat(policy.tryRetry(outcome, idempotent, attempts, remainingNanos, needNanos))
                .isEqualTo(expected);
    }

    @Test
    void refusedRetryDoesNotUseTheBudget() {
        RetryPolicy policy = new RetryPolicy(3, new RetryBudget(0.1, 1));
        assertThat(policy.tryRetry(Outcome.UNKNOWN, false, 1, 100, 0)).isFalse();
        assertThat(policy.tryRetry(Outcome.NOT_RUN, false, 1, 100, 0)).isTrue();
        assertWithMessage("the budget is empty")
                .that(policy.tryRetry(Outcome.NOT_RUN, false, 1, 100, 0))
                .isFalse();
    }

    @Property(seed = "1", tries = 100)
    void retriesAreBoundedByAFractionOfSuccesses(
            @ForAll @IntRange(min = 0, max = 500) int successes) {
        RetryBudget budget = new RetryBudget(0.1, 20);
        int granted = 0;
        for (int i = 0; i < successes; i++) {
            budget.onSuccess();
            for (int retry = 0; retry < 3; retry++) {
                granted += budget.tryTake() ? 1 : 0;
            }
        }
        assertThat((double) granted).isAtMost(20 + successes * 0.1 + 1e-6);
    }
}
