package org.bronzewheel.permits;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that fleets of routers together stay within what a cold upstream sustains, in virtual time.
 */
class ColdFleetTest {
    private static final double OVERAGE = 1.5;
    private static final int SLACK = 5;

    /** The requests that may reach a cold upstream in any second. */
    private static final int ALLOWED_PER_SECOND =
            (int) (ColdFleet.COLD_PER_SECOND * OVERAGE + SLACK);

    private static final int ROUTERS = 60;
    private static final double DEMAND_PER_SECOND = 300;
    private static final long COLD_MILLIS = 15_000;
    private static final long PART_MILLIS = 4_000;
    private static final long LONG_CUT_MILLIS = 70_000;

    /** The time until every router that reads the platform knows that the upstream is cold. */
    private static final long NOTICE_MILLIS = ColdFleet.ENTRY_MILLIS + ColdFleet.MAX_READ_MILLIS;

    private static ColdFleet fleet(long seed) {
        return new ColdFleet(ROUTERS, DEMAND_PER_SECOND, seed).settle();
    }

    private static void assertWithinBound(ColdFleet fleet, long fromMillis, long toMillis) {
        assertWithMessage("most requests in a second")
                .that(fleet.busiestSecond(fromMillis, toMillis))
                .isAtMost(ALLOWED_PER_SECOND);
    }

    // Guards against routers that each send at the rate that all may send together.
    @ParameterizedTest
    @CsvSource({"1,1", "9,1", "9,2", "60,1", "60,2", "60,3"})
    void aFleetStaysWithinTheRateOfAColdUpstreamAndUsesIt(int size, long seed) {
        ColdFleet fleet = new ColdFleet(size, DEMAND_PER_SECOND, seed).settle();
        long startMillis = fleet.nowMillis();
        fleet.startUpstream(COLD_MILLIS);
        fleet.advance(COLD_MILLIS);
        assertWithinBound(fleet, startMillis, startMillis + COLD_MILLIS);
        if (size > 1) {
            double seconds = (COLD_MILLIS - PART_MILLIS) / 1_000.0;
            int used = fleet.arrivals(startMillis + PART_MILLIS, startMillis + COLD_MILLIS);
            assertThat(used / seconds).isAtLeast(ColdFleet.COLD_PER_SECOND / 2);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aWarmUpstreamIsUsedWithoutALimit(long seed) {
        ColdFleet fleet = fleet(seed);
        fleet.startUpstream(ColdFleet.COLD_START_MILLIS);
        fleet.advance(ColdFleet.COLD_START_MILLIS + NOTICE_MILLIS);
        long warmMillis = fleet.nowMillis();
        fleet.advance(2_000);
        assertThat(fleet.arrivals(warmMillis, warmMillis + 2_000))
                .isAtLeast((int) DEMAND_PER_SECOND);
    }

    // Guards against sides of a cut that each grant the whole rate.
    @ParameterizedTest
    @CsvSource({"24,1", "24,2", "30,1", "3,1", "57,1"})
    void theSidesOfAPartitionTogetherStayWithinTheRate(int cutOff, long seed) {
        ColdFleet fleet = fleet(seed);
        long startMillis = fleet.nowMillis();
        fleet.startUpstream(COLD_MILLIS);
        fleet.advance(PART_MILLIS);
        fleet.cut(cutOff);
        fleet.advance(PART_MILLIS);
        fleet.cut(0);
        fleet.advance(COLD_MILLIS - 2 * PART_MILLIS);
        assertWithinBound(fleet, startMillis, startMillis + COLD_MILLIS);
    }

    // Guards against sides that take the other side for gone after a minute without it.
    @ParameterizedTest
    @CsvSource({"24,1", "24,2", "30,1", "30,2"})
    void theSidesOfALongPartitionTogetherStayWithinTheRate(int cutOff, long seed) {
        ColdFleet fleet = fleet(seed);
        fleet.cut(cutOff);
        fleet.advance(LONG_CUT_MILLIS);
        long startMillis = fleet.nowMillis();
        fleet.startUpstream(COLD_MILLIS);
        fleet.advance(COLD_MILLIS);
        assertWithinBound(fleet, startMillis, startMillis + COLD_MILLIS);
        assertThat(fleet.arrivals(startMillis, startMillis + COLD_MILLIS)).isGreaterThan(0);
    }

    // Guards against routers that start on a side of a cut and take that side for the whole fleet.
    @ParameterizedTest
    @CsvSource({"3,1", "3,2", "3,3", "4,1", "4,2", "6,1", "6,2", "10,1"})
    void routersThatRestartOnASideOfAPartitionStayWithinTheRate(int cutOff, long seed) {
        ColdFleet fleet = fleet(seed);
        fleet.cut(cutOff);
        for (int i = 0; i < cutOff; i++) {
            fleet.restart(0, 500);
        }
        fleet.advance(COLD_MILLIS);
        long startMillis = fleet.nowMillis();
        fleet.startUpstream(COLD_MILLIS);
        fleet.advance(COLD_MILLIS);
        assertWithinBound(fleet, startMillis, startMillis + COLD_MILLIS);
    }

    // Guards against a next owner that grants while permits of the lost one are still in use.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void anOwnerThatDiesIsFollowedByOneThatStaysWithinTheRate(long seed) {
        ColdFleet fleet = fleet(seed);
        long startMillis = fleet.nowMillis();
        fleet.startUpstream(COLD_MILLIS);
        fleet.advance(PART_MILLIS);
        fleet.kill(fleet.owner());
        fleet.advance(COLD_MILLIS - PART_MILLIS);
        assertWithinBound(fleet, startMillis, startMillis + COLD_MILLIS);
        assertThat(fleet.arrivals(startMillis + 2 * PART_MILLIS, startMillis + COLD_MILLIS))
                .isGreaterThan(0);
    }

    // Guards against routers that know nobody yet and each grant the whole rate.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aFleetThatStartsTogetherWithTheUpstreamStaysWithinTheRate(long seed) {
        ColdFleet fleet = new ColdFleet(ROUTERS, DEMAND_PER_SECOND, seed);
        fleet.startUpstream(COLD_MILLIS);
        fleet.advance(COLD_MILLIS);
        assertWithinBound(fleet, 0, COLD_MILLIS);
        assertThat(fleet.arrivals(0, COLD_MILLIS)).isGreaterThan(0);
    }

    // Guards against a restarted owner whose new bucket adds to what its successor grants.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void anOwnerThatRestartsStaysWithinTheRate(long seed) {
        ColdFleet fleet = fleet(seed);
        long startMillis = fleet.nowMillis();
        fleet.startUpstream(COLD_MILLIS);
        fleet.advance(PART_MILLIS);
        fleet.restart(fleet.owner(), 500 * seed);
        fleet.advance(COLD_MILLIS - PART_MILLIS);
        assertWithinBound(fleet, startMillis, startMillis + COLD_MILLIS);
    }

    // Guards against an owner without the entry, which granted every request.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void anOwnerThatHasNotReadTheEntryStaysWithinTheRate(long seed) {
        ColdFleet fleet = fleet(seed);
        long startMillis = fleet.nowMillis();
        fleet.cutFromPlatform(fleet.owner());
        fleet.startUpstream(COLD_MILLIS);
        fleet.advance(COLD_MILLIS);
        assertWithinBound(fleet, startMillis, startMillis + COLD_MILLIS);
        assertThat(fleet.arrivals(startMillis, startMillis + COLD_MILLIS)).isGreaterThan(0);
    }

    // Guards against an owner that knows the upstream as warm and sends its own requests unlimited.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void anOwnerThatKnowsTheUpstreamAsWarmStaysWithinTheRate(long seed) {
        ColdFleet fleet = fleet(seed);
        fleet.startUpstream(0);
        fleet.advance(PART_MILLIS);
        fleet.cutFromPlatform(fleet.owner());
        fleet.chillUpstream(COLD_MILLIS);
        long coldMillis = fleet.nowMillis();
        fleet.advance(COLD_MILLIS);
        assertWithinBound(fleet, coldMillis + NOTICE_MILLIS, coldMillis + COLD_MILLIS);
    }

    // Guards against an owner that limits a process by what was reported of an earlier one.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void anUpstreamThatRestartsWarmIsUsedWithoutALimit(long seed) {
        ColdFleet fleet = new ColdFleet(2, DEMAND_PER_SECOND, seed).settle();
        fleet.startUpstream(COLD_MILLIS);
        fleet.advance(PART_MILLIS);
        fleet.restartUpstreamWarm();
        fleet.advance(NOTICE_MILLIS);
        long warmMillis = fleet.nowMillis();
        fleet.advance(2_000);
        assertThat(fleet.arrivals(warmMillis, warmMillis + 2_000))
                .isAtLeast((int) (1.5 * DEMAND_PER_SECOND));
    }

    // Routers may learn of the return before the entries say that it is cold.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void anEvacuatedDomainGetsNothingAndReturnsWithARamp(long seed) {
        ColdFleet fleet = fleet(seed);
        fleet.startUpstream(0);
        fleet.advance(PART_MILLIS + 100 * seed);
        fleet.evacuate();
        long requestedMillis = fleet.nowMillis();
        fleet.advance(2 * PART_MILLIS);
        fleet.endEvacuation();
        fleet.chillUpstream(ColdFleet.COLD_START_MILLIS);
        long returnedMillis = fleet.nowMillis();
        fleet.advance(ColdFleet.COLD_START_MILLIS + NOTICE_MILLIS);
        assertThat(fleet.arrivals(requestedMillis + NOTICE_MILLIS, returnedMillis)).isEqualTo(0);
        assertWithinBound(fleet, returnedMillis, returnedMillis + ColdFleet.COLD_START_MILLIS);
        assertThat(fleet.arrivals(returnedMillis, returnedMillis + ColdFleet.COLD_START_MILLIS))
                .isGreaterThan(0);
    }

    // The evacuation may be requested while the upstream is cold.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void anUpstreamThatIsColdWhenItsDomainIsEvacuatedAndReturnsStaysWithinTheRate(long seed) {
        ColdFleet fleet = fleet(seed);
        long startMillis = fleet.nowMillis();
        fleet.startUpstream(COLD_MILLIS);
        fleet.advance(1_500);
        fleet.evacuate();
        fleet.advance(PART_MILLIS);
        fleet.endEvacuation();
        fleet.advance(COLD_MILLIS - PART_MILLIS - 1_500);
        assertWithinBound(fleet, startMillis, startMillis + COLD_MILLIS);
    }
}
