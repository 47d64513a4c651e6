package org.bronzewheel.steward;

import static com.google.common.truth.Truth.assertThat;

import java.util.EnumSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

class StewardMachineTest {
    private static final long SETTLE_MILLIS = 60_000;

    @Test
    void oneStewardOrdersEachEngineAndASuccessorTakesOverWhenItFails() {
        StewardFixture fleet = fleet(0);
        fleet.startAll(1);
        fleet.network.runFor(SETTLE_MILLIS);
        assertThat(fleet.holders()).hasSize(1);
        assertThat(fleet.engineRevisions).hasSize(StewardFixture.ENGINES);

        String failed = fleet.holders().get(0).self.vmId();
        fleet.routers.remove(failed);
        fleet.routers.values().forEach(router -> router.setView(Set.of(failed)));
        fleet.routers.values().forEach(router -> router.setConfiguration(2));
        fleet.network.runFor(SETTLE_MILLIS);

        assertThat(fleet.holders()).hasSize(1);
        assertThat(fleet.engineRevisions.values()).containsExactly(2L, 2L, 2L);
        assertThat(fleet.violations).isEmpty();
    }

    @Test
    void aReleasedLeaseIsGrantedToASuccessorWithoutWaiting() {
        StewardFixture fleet = fleet(0);
        fleet.startAll(1);
        fleet.network.runFor(SETTLE_MILLIS);
        StewardFixture.Router holder = fleet.holders().get(0);

        holder.release();
        String leaving = holder.self.vmId();
        fleet.routers.values().forEach(router -> router.setView(Set.of(leaving)));
        fleet.network.runFor(StewardFixture.SETTINGS.renewMillis() + 1_000);

        assertThat(fleet.holders()).hasSize(1);
        assertThat(fleet.holders()).doesNotContain(holder);
    }

    @Test
    void aMinorityHasNoSteward() {
        StewardFixture fleet = fleet(0);
        fleet.startAll(1);
        fleet.network.runFor(SETTLE_MILLIS);
        String isolated = fleet.holders().get(0).self.vmId();

        fleet.network.setPartition((from, to) -> from.equals(isolated) || to.equals(isolated));
        fleet.network.runFor(StewardFixture.SETTINGS.leaseMillis() + 1_000);

        assertThat(fleet.holders()).isEmpty();
    }

    @Test
    void loadsStayWithinTheRateOfTheWeightStoreAcrossAChangeOfSteward() {
        int megabytesPerSecond = 50;
        StewardFixture fleet = fleet(megabytesPerSecond);
        fleet.startAll(1);
        fleet.network.runFor(45_000);
        String failed = fleet.holders().get(0).self.vmId();
        fleet.routers.remove(failed);
        fleet.routers.values().forEach(router -> router.setView(Set.of(failed)));
        fleet.network.runFor(300_000);

        assertThat(fleet.loadStartsNanos).hasSize(StewardFixture.ENGINES);
        long secondsPerLoad = StewardFixture.MODEL_MEGABYTES / megabytesPerSecond;
        for (int i = 1; i < fleet.loadStartsNanos.size(); i++) {
            long gap = fleet.loadStartsNanos.get(i) - fleet.loadStartsNanos.get(i - 1);
            // A load is charged when its response arrives, slightly after its start.
            assertThat(gap).isAtLeast(secondsPerLoad * 1_000_000_000L);
        }
    }

    private static StewardFixture fleet(int megabytesPerSecond) {
        return new StewardFixture(1, EnumSet.allOf(StewardRule.class), megabytesPerSecond);
    }
}
