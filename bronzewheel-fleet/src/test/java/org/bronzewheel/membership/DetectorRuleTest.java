package org.bronzewheel.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.EnumSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks for each detector rule that a fault changes the health of a router no more often than
 * allowed with the rule, and more often without it.
 */
class DetectorRuleTest {
    private static final int ROUTERS = 12;
    private static final int DOMAINS = 3;
    private static final String OBSERVER = VirtualFleet.vmId(0);
    private static final String ISOLATED = VirtualFleet.vmId(2);
    private static final String VICTIM = VirtualFleet.vmId(1);

    record RuleCase(DetectorRule rule, long allowedChanges, Consumer<VirtualFleet> fault) {
        @Override
        public String toString() {
            return rule.toString();
        }
    }

    static Stream<RuleCase> cases() {
        return Stream.of(
                new RuleCase(
                        DetectorRule.ASK_HELPERS,
                        0,
                        fleet ->
                                fleet.network.setPartition(
                                        (a, b) -> isInFirstDomain(a) && b.equals(VICTIM))),
                new RuleCase(
                        DetectorRule.DOUBT_SELF,
                        0,
                        fleet -> {
                            fleet.network.setPartition(
                                    (a, b) -> a.equals(ISOLATED) || b.equals(ISOLATED));
                            fleet.network.runFor(10_000);
                            fleet.network.setPartition((a, b) -> false);
                        }),
                new RuleCase(
                        DetectorRule.FORGIVE_OWN_PAUSE,
                        0,
                        fleet -> {
                            fleet.network.pause(OBSERVER);
                            fleet.network.runFor(60_000);
                            fleet.network.resume(OBSERVER);
                        }),
                new RuleCase(
                        DetectorRule.WAIT_FOR_REFUTATION,
                        1,
                        fleet -> fleet.network.setPartition((a, b) -> b.equals(VICTIM))));
    }

    @ParameterizedTest
    @MethodSource("cases")
    void disablingARuleCausesAViolation(RuleCase rule) {
        long with = changes(rule, EnumSet.allOf(DetectorRule.class));
        long without = changes(rule, EnumSet.complementOf(EnumSet.of(rule.rule())));

        assertThat(with).isEqualTo(rule.allowedChanges());
        assertThat(without).isGreaterThan(rule.allowedChanges());
    }

    /** Returns the largest number of health changes of any router in the observer's views. */
    private static long changes(RuleCase rule, Set<DetectorRule> rules) {
        VirtualFleet fleet = new VirtualFleet(3, ROUTERS, DOMAINS, 0);
        fleet.setRules(rules);
        fleet.startAll();
        fleet.network.runFor(30_000);
        rule.fault().accept(fleet);
        fleet.network.runFor(30_000);
        return fleet.routers.keySet().stream()
                .filter(vmId -> !vmId.equals(ISOLATED))
                .mapToLong(vmId -> fleet.router(0).changesOf(vmId))
                .max()
                .orElseThrow();
    }

    private static boolean isInFirstDomain(String vmId) {
        return Integer.parseInt(vmId.substring("router-".length())) % DOMAINS == 0;
    }
}
