package org.bronzewheel.repeats;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RepeatBudgetTest {
    private static final double RATIO = 0.2;
    private static final double SLACK = 50;

    @Test
    void allRoutersTogetherStayWithinTheWholeInEachWindow() {
        List<RepeatBudget> routers = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            routers.add(new RepeatBudget(RATIO, SLACK, 10_000, 9));
        }
        int requests = 0;
        int repeats = 0;
        for (long now = 0; now < 10_000; now += 10) {
            for (RepeatBudget router : routers) {
                if (now % 100 == 0) {
                    router.request("s", 1, now);
                    requests++;
                }
                repeats += router.tryRepeat("s", now) ? 1 : 0;
            }
        }
        assertThat((double) repeats).isAtMost(RATIO * requests + SLACK);
        assertThat(repeats).isGreaterThan(100);
    }

    @Test
    void aRequestThatTwoRoutersBookAllowsNoMoreRepeatsThanOne() {
        RepeatBudget submitter = new RepeatBudget(RATIO, 0, 10_000, 2);
        RepeatBudget owner = new RepeatBudget(RATIO, 0, 10_000, 2);
        int repeats = 0;
        for (int i = 0; i < 100; i++) {
            submitter.request("s", 0.5, 0);
            owner.request("s", 0.5, 0);
        }
        for (int i = 0; i < 100; i++) {
            repeats += submitter.tryRepeat("s", 1) ? 1 : 0;
            repeats += owner.tryRepeat("s", 1) ? 1 : 0;
        }
        assertThat(repeats).isEqualTo(20);
    }

    @Test
    void repeatsOfAnEarlierWindowAreForgotten() {
        RepeatBudget budget = new RepeatBudget(0, 1, 1_000, 1);
        assertThat(budget.tryRepeat("s", 0)).isTrue();
        assertThat(budget.tryRepeat("s", 999)).isFalse();
        assertThat(budget.tryRepeat("s", 1_000)).isTrue();
    }

    @Test
    void aRouterThatAssumesManyRoutersRepeatsLittle() {
        RepeatBudget budget = new RepeatBudget(0, 50, 1_000, 100);
        assertThat(budget.tryRepeat("s", 0)).isFalse();
        budget.setRouters(10);
        assertThat(budget.tryRepeat("s", 0)).isTrue();
    }
}
