package org.bronzewheel.steward;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Runs steward state machines under random fault schedules, each reproducible from its seed. */
class StewardScheduleTest {
    private static final int SCHEDULES = 150;
    private static final int STEPS = 150;
    private static final int MAX_STEP_MILLIS = 8_000;

    @Test
    void randomFaultsCauseNoViolation() {
        for (long seed = 0; seed < SCHEDULES; seed++) {
            assertWithMessage("seed %s", seed)
                    .that(run(seed, EnumSet.allOf(StewardRule.class)))
                    .isEmpty();
        }
    }

    @ParameterizedTest
    @EnumSource(StewardRule.class)
    void disablingARuleCausesAViolation(StewardRule rule) {
        boolean violated = false;
        for (long seed = 0; seed < SCHEDULES && !violated; seed++) {
            violated = !run(seed, EnumSet.complementOf(EnumSet.of(rule))).isEmpty();
        }
        assertThat(violated).isTrue();
    }

    private static List<String> run(long seed, Set<StewardRule> rules) {
        SplittableRandom random = new SplittableRandom(seed);
        StewardFixture fleet = new StewardFixture(seed, rules, 0);
        fleet.startAll(1);
        long revision = 1;
        for (int step = 0; step < STEPS; step++) {
            revision = injectFault(fleet, revision, random);
            fleet.network.runFor(random.nextInt(MAX_STEP_MILLIS));
        }
        fleet.network.setPartition((from, to) -> false);
        fleet.network.setFaults(0, 0);
        fleet.network.setDelay(200, 2_000);
        fleet.network.pausedVms().forEach(fleet.network::resume);
        long last = revision + 1;
        fleet.network.runFor(1_000);
        fleet.routers.values().forEach(router -> router.setView(Set.of()));
        fleet.routers.values().forEach(router -> router.setConfiguration(last));
        fleet.network.runFor(120_000);
        if (fleet.engineRevisions.size() < StewardFixture.ENGINES
                || fleet.engineRevisions.values().stream().anyMatch(r -> r != last)) {
            fleet.violations.add(
                    "an engine did not receive an order for the last revision: "
                            + fleet.engineRevisions);
        }
        return fleet.violations;
    }

    private static long injectFault(StewardFixture fleet, long revision, SplittableRandom random) {
        String vmId = StewardFixture.vmId(random.nextInt(StewardFixture.ROUTERS));
        StewardFixture.Router router = fleet.routers.get(vmId);
        switch (random.nextInt(9)) {
            case 0, 1 -> {
                Set<String> suspects = new TreeSet<>();
                for (int i = 0; i < StewardFixture.ROUTERS; i++) {
                    if (random.nextInt(3) == 0 && !StewardFixture.vmId(i).equals(vmId)) {
                        suspects.add(StewardFixture.vmId(i));
                    }
                }
                fleet.network.runOn(vmId, () -> router.setView(suspects));
            }
            case 2 -> {
                long next = revision + 1;
                fleet.network.runOn(vmId, () -> router.setConfiguration(next));
                return next;
            }
            case 3 -> fleet.network.runOn(vmId, () -> router.setConfiguration(revision));
            case 4 -> {
                fleet.network.setFaults(random.nextDouble() / 3, random.nextDouble() / 3);
                fleet.network.setDelay(200, random.nextInt(1_000, 2_000_000));
            }
            case 5 -> {
                int partition = random.nextInt(1 << StewardFixture.ROUTERS);
                fleet.network.setPartition(
                        (from, to) -> sideOf(partition, from) != sideOf(partition, to));
            }
            case 6 -> fleet.network.setPartition((from, to) -> false);
            case 7 -> {
                // Several routers restart at once, as after the failure of a rack.
                for (int i = random.nextInt(StewardFixture.ROUTERS - 1); i >= 0; i--) {
                    fleet.start(StewardFixture.vmId(i), revision);
                }
            }
            default -> {
                fleet.network.pausedVms().forEach(fleet.network::resume);
                List<StewardFixture.Router> holders = fleet.holders();
                String target = holders.isEmpty() ? vmId : holders.get(0).self.vmId();
                fleet.network.pause(target);
            }
        }
        return revision;
    }

    private static boolean sideOf(int partition, String vmId) {
        return (partition >> Integer.parseInt(vmId.substring("vm-".length())) & 1) == 1;
    }
}
