package org.bronzewheel.claim;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.bronzewheel.check.Exploration;
import org.bronzewheel.check.Explorer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.FieldSource;

/** Explores every schedule of the claim machine at small scope. */
class ClaimModelCheckTest {
    private static final int MAX_STATES = 300_000;
    static final List<ClaimScope> SCOPES = ClaimScopes.ALL;

    @ParameterizedTest
    @FieldSource("SCOPES")
    void noScheduleBreaksARule(ClaimScope scope) {
        long before = System.nanoTime();
        Exploration found =
                new Explorer<>(
                                new ClaimModel(ClaimScopes.SETTINGS, ClaimRules.ALL, scope),
                                MAX_STATES)
                        .explore();

        System.out.printf(
                "CHECK %s: %d states, %d transitions, complete %s, %d ms%n",
                scope.name(),
                found.states(),
                found.transitions(),
                found.complete(),
                (System.nanoTime() - before) / 1_000_000);
        assertThat(found.schedule()).isEqualTo(List.of());
        assertThat(found.complete()).isTrue();
    }
}
