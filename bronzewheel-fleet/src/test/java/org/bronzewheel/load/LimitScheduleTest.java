package org.bronzewheel.load;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.EnumSet;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class LimitScheduleTest {
    private static final int SCHEDULES = 60;
    private static final int STEPS = 150;
    private static final int SAMPLE_MILLIS = 100;
    private static final double TOLERANCE = 1e-6;
    private static final double EQUAL_SHARE = LimitFixture.LIMIT_PER_SECOND / LimitFixture.ROUTERS;

    @Test
    void oneBusyRouterGetsUnusedSharesOfTheOthersUntilItIsPartitioned() {
        LimitFixture fleet = new LimitFixture(1, EnumSet.allOf(LimitRule.class));
        String busy = LimitFixture.vmId(0);
        fleet.setDemand(busy, LimitFixture.LIMIT_PER_SECOND);
        fleet.network.runFor(10_000);
        assertThat(fleet.allowed(busy)).isAtLeast(0.85 * LimitFixture.LIMIT_PER_SECOND);

        fleet.network.setPartition((from, to) -> from.equals(busy) || to.equals(busy));
        fleet.network.runFor(LimitFixture.SETTINGS.grantMillis());
        assertThat(fleet.allowed(busy)).isAtMost(EQUAL_SHARE);

        fleet.network.runFor(LimitFixture.SETTINGS.lenderMillis());
        fleet.machines.keySet().forEach(id -> assertThat(fleet.allowed(id)).isEqualTo(EQUAL_SHARE));
    }

    @Test
    void equallyBusyRoutersKeepEqualShares() {
        LimitFixture fleet = new LimitFixture(2, EnumSet.allOf(LimitRule.class));
        fleet.machines.keySet().forEach(id -> fleet.setDemand(id, 2 * EQUAL_SHARE));

        fleet.network.runFor(20_000);

        fleet.machines.keySet().forEach(id -> assertThat(fleet.allowed(id)).isEqualTo(EQUAL_SHARE));
    }

    @Test
    void randomFaultsDoNotExceedTheLimit() {
        for (long seed = 0; seed < SCHEDULES; seed++) {
            double maxTotal = maxAllowed(seed, EnumSet.allOf(LimitRule.class));
            assertWithMessage("seed %s", seed)
                    .that(maxTotal)
                    .isAtMost(LimitFixture.LIMIT_PER_SECOND + TOLERANCE);
        }
    }

    @ParameterizedTest
    @EnumSource(LimitRule.class)
    void disablingARuleCausesAViolation(LimitRule rule) {
        Set<LimitRule> others = EnumSet.complementOf(EnumSet.of(rule));
        double maxTotal = 0;
        for (long seed = 0; seed < SCHEDULES; seed++) {
            maxTotal = Math.max(maxTotal, maxAllowed(seed, others));
        }
        assertThat(maxTotal).isGreaterThan(LimitFixture.LIMIT_PER_SECOND + TOLERANCE);
    }

    /**
     * Returns the highest total that the routers were allowed to use in a random fault schedule.
     */
    private static double maxAllowed(long seed, Set<LimitRule> rules) {
        SplittableRandom random = new SplittableRandom(seed);
        LimitFixture fleet = new LimitFixture(seed, rules);
        double maxTotal = 0;
        for (int step = 0; step < STEPS; step++) {
            injectFault(fleet, random);
            for (int millis = random.nextInt(3_000); millis > 0; millis -= SAMPLE_MILLIS) {
                fleet.network.runFor(SAMPLE_MILLIS);
                maxTotal = Math.max(maxTotal, fleet.totalAllowed());
            }
        }
        return maxTotal;
    }

    private static void injectFault(LimitFixture fleet, SplittableRandom random) {
        String vmId = LimitFixture.vmId(random.nextInt(LimitFixture.ROUTERS));
        String other = LimitFixture.vmId(random.nextInt(LimitFixture.ROUTERS));
        switch (random.nextInt(8)) {
            case 0, 1, 2 -> {
                double demand = random.nextInt(4) == 0 ? 0 : random.nextDouble() * 60;
                fleet.network.runOn(vmId, () -> fleet.setDemand(vmId, demand));
            }
            case 3 -> fleet.network.runOn(vmId, () -> fleet.setView(vmId, Set.of(other)));
            case 4 -> {
                fleet.network.setFaults(random.nextDouble() / 3, random.nextDouble() / 3);
                fleet.network.setDelay(200, random.nextInt(1_000, 2_000_000));
            }
            case 5 -> fleet.network.setPartition((from, to) -> from.equals(vmId));
            case 6 -> fleet.network.setPartition((from, to) -> false);
            default -> {
                fleet.network.pausedVms().forEach(fleet.network::resume);
                fleet.network.pause(vmId);
            }
        }
    }
}
