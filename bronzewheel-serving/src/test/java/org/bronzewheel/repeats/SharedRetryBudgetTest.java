package org.bronzewheel.repeats;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class SharedRetryBudgetTest {
    private static final double RATIO = 0.2;
    private static final double SLACK = 50;

    @Test
    void allRoutersTogetherStayWithinTheBudgetInEachWindow() {
        List<SharedRetryBudget> routers = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            routers.add(new SharedRetryBudget(RATIO, SLACK, 10_000, 9));
        }
        int requests = 0;
        int retries = 0;
        for (long now = 0; now < 10_000; now += 10) {
            for (SharedRetryBudget router : routers) {
                if (now % 100 == 0) {
                    router.recordRequest("s", 1, now);
                    requests++;
                }
                retries += router.tryRetry("s", now) ? 1 : 0;
            }
        }
        assertThat((double) retries).isAtMost(RATIO * requests + SLACK);
        assertThat(retries).isGreaterThan(100);
    }

    @Test
    void aRequestRecordedByTwoRoutersAllowsNoMoreRetriesThanOne() {
        SharedRetryBudget submitter = new SharedRetryBudget(RATIO, 0, 10_000, 2);
        SharedRetryBudget owner = new SharedRetryBudget(RATIO, 0, 10_000, 2);
        int retries = 0;
        for (int i = 0; i < 100; i++) {
            submitter.recordRequest("s", 0.5, 0);
            owner.recordRequest("s", 0.5, 0);
        }
        for (int i = 0; i < 100; i++) {
            retries += submitter.tryRetry("s", 1) ? 1 : 0;
            retries += owner.tryRetry("s", 1) ? 1 : 0;
        }
        assertThat(retries).isEqualTo(20);
    }

    @Test
    void retriesOutsideTheWindowDoNotCount() {
        SharedRetryBudget budget = new SharedRetryBudget(0, 1, 1_000, 1);
        assertThat(budget.tryRetry("s", 0)).isTrue();
        assertThat(budget.tryRetry("s", 999)).isFalse();
        assertThat(budget.tryRetry("s", 1_000)).isTrue();
    }

    @Test
    void aRouterThatAssumesManyRoutersRetriesLittle() {
        SharedRetryBudget budget = new SharedRetryBudget(0, 50, 1_000, 100);
        assertThat(budget.tryRetry("s", 0)).isFalse();
        budget.setRouters(10);
        assertThat(budget.tryRetry("s", 0)).isTrue();
    }
}
