package org.bronzewheel.measure;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Fleets before upstreams that leave while the store is silent, in virtual time. */
class LeavingExperimentTest {
    // Guards against requests to upstreams whose leaving other routers have heard of.
    @ParameterizedTest
    @ValueSource(ints = {6, 91})
    void routersThatTellEachOtherSendLittleToUpstreamsThatHaveEnded(int size) {
        double alone = LeavingExperiment.row(size, false, 1).figures().get("afterEnd");
        double telling = LeavingExperiment.row(size, true, 1).figures().get("afterEnd");
        assertThat(telling).isAtMost(Math.max(1, LeavingExperiment.MOST_LEFT_BY_TELLING * alone));
    }

    // Guards against one router that empties a service by what it tells.
    @ParameterizedTest
    @ValueSource(ints = {6, 91})
    void aRouterThatFalselyTellsThatAllUpstreamsLeaveCostsNoRequest(int size) {
        LeavingFleet fleet = new LeavingFleet(size, true, 1);
        fleet.advance(1_000);
        fleet.lie(0);
        fleet.advance(5_000);
        assertThat(fleet.sent()).isGreaterThan(0);
        // The router that believes it itself has no upstream left.
        assertThat((double) fleet.refused()).isAtMost(2.0 * fleet.sent() / size);
    }

    @Test
    void routersThatRestartOrWereSilentLearnOfLeavingUpstreamsSoon() {
        LeavingFleet fleet = new LeavingFleet(9, true, 1);
        fleet.silence(3, 2_000);
        fleet.restart(5, 500);
        fleet.leave(2, 3_000);
        fleet.advance(13_000);
        assertWithMessage("requests to ended upstreams").that(fleet.sentAfterEnd()).isEqualTo(0);
    }

    @Test
    void aLargeFleetLearnsOfLeavingUpstreamsThroughRestartsAndFreezes() {
        double alone = LeavingExperiment.row(91, false, 1).figures().get("afterEnd");
        LeavingFleet fleet = new LeavingFleet(91, true, 1);
        for (int i = 0; i < 10; i++) {
            fleet.silence(i, 2_500);
        }
        fleet.leave(13, 3_000);
        for (int i = 10; i < 20; i++) {
            fleet.advance(300);
            fleet.restart(i, 500);
        }
        fleet.advance(10_000);
        assertThat((double) fleet.sentAfterEnd())
                .isAtMost(LeavingExperiment.MOST_LEFT_BY_TELLING * alone);
    }
}
