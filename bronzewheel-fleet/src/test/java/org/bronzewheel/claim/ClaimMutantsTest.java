package org.bronzewheel.claim;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.stream.Stream;
import org.bronzewheel.check.ModelCheckResult;
import org.bronzewheel.check.ModelChecker;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Shows that each safety rule is needed: with the rule disabled, a schedule that violates a
 * property is found.
 */
class ClaimMutantsTest {
    private static final int MAX_STATES = 200_000;
    private static final int MAX_SEEDS = 100;
    private static final int MAX_STEPS = 1_500;

    @ParameterizedTest
    @CsvSource({
        "firstVoteStays, restart",
        "majorityGrants, restart",
        "freshVoterAbstains, restart",
        "withdrawalIsFinal, double",
        "grantsExpire, waiting grant",
        "keysExpire, expired key",
        "peersListsAreKnown, list change",
        "frozenSeatsAbstain, hand-over"
    })
    void withoutTheRuleAShortScheduleViolatesAProperty(String rule, String scopeName) {
        ClaimScope scope =
                Stream.concat(ClaimScopes.ALL.stream(), Stream.of(ClaimScopes.LIST_CHANGE))
                        .filter(candidate -> candidate.name().equals(scopeName))
                        .findFirst()
                        .orElseThrow();
        ModelCheckResult found =
                new ModelChecker<>(
                                new ClaimModel(ClaimScopes.SETTINGS, Mutants.without(rule), scope),
                                MAX_STATES)
                        .check();

        System.out.printf(
                "CHECK without %s: %d states, schedule of %d: %s%n",
                rule, found.states(), found.schedule().size(), found.violation().orElse("none"));
        assertWithMessage("%s", found).that(found.violation()).isPresent();
    }

    @ParameterizedTest
    @CsvSource({"allListsVote, 4", "listsSettle, 4"})
    void withoutTheRuleARandomScheduleViolatesAProperty(String rule, long firstSeed) {
        int steps = 0;
        for (long seed = firstSeed; seed < firstSeed + MAX_SEEDS && steps == 0; seed++) {
            RandomClaimWalk walk = new RandomClaimWalk(seed, Mutants.without(rule));
            if (walk.run(MAX_STEPS).isPresent()) {
                steps = walk.steps();
                System.out.printf("CHECK without %s: seed %d, %d steps%n", rule, seed, steps);
            }
        }
        assertThat(steps).isGreaterThan(0);
    }
}
