package org.bronzewheel.claim;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.bronzewheel.check.ModelCheckResult;
import org.bronzewheel.check.ModelChecker;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.FieldSource;

/** Checks every schedule of the claim machine within small scopes. */
class ClaimModelCheckTest {
    private static final int MAX_STATES = 150_000;
    private static final int MAX_LIST_CHANGE_STATES = 120_000;
    static final List<ClaimScope> SCOPES = ClaimScopes.ALL;

    @ParameterizedTest
    @FieldSource("SCOPES")
    void noScheduleViolatesAProperty(ClaimScope scope) {
        ModelCheckResult found = check(scope, MAX_STATES);

        assertThat(found.schedule()).isEqualTo(List.of());
        assertThat(found.complete()).isTrue();
    }

    @Test
    void noScheduleOfTwelveStepsAroundAListChangeViolatesAProperty() {
        ModelCheckResult found = check(ClaimScopes.LIST_CHANGE, MAX_LIST_CHANGE_STATES);

        assertThat(found.schedule()).isEqualTo(List.of());
        assertThat(found.depth()).isAtLeast(12);
    }

    private static ModelCheckResult check(ClaimScope scope, int maxStates) {
        long before = System.nanoTime();
        ModelCheckResult found =
                new ModelChecker<>(
                                new ClaimModel(ClaimScopes.SETTINGS, ClaimRules.ALL, scope),
                                maxStates)
                        .check();
        System.out.printf(
                "CHECK %s: %d states, %d transitions, depth %d, complete %s, %d ms%n",
                scope.name(),
                found.states(),
                found.transitions(),
                found.depth(),
                found.complete(),
                (System.nanoTime() - before) / 1_000_000);
        return found;
    }
}
