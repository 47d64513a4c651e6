package org.bronzewheel.serving;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.bronzewheel.catalog.RetryRule;
import org.bronzewheel.catalog.ServiceRoute;
import org.bronzewheel.catalog.ServiceShare;
import org.bronzewheel.catalog.StageStep;
import org.junit.jupiter.api.Test;

class GracefulShutdownTest {
    private static final long STOP_MILLIS = 8_000;

    private final List<String> exits = new ArrayList<>();

    private ServingHarness shutDown(ServingHarness harness) {
        new GracefulShutdown(
                        harness.loop, STOP_MILLIS, harness.engine, () -> 0, () -> exits.add("exit"))
                .begin();
        return harness;
    }

    @Test
    void anIdleRouterKeepsRunningOnlyWhileTheLoadBalancerStillSendsCallers() {
        ServingHarness harness = shutDown(new ServingHarness());
        harness.advance(2_500);
        assertThat(exits).isEmpty();
        harness.advance(200);
        assertThat(exits).hasSize(1);
    }

    @Test
    void requestsInProgressAreAnsweredBeforeExit() {
        ServingHarness harness =
                new ServingHarness()
                        .with(ServingHarness.route(RetryRule.AT_MOST_ONCE, false, 1))
                        .request();
        shutDown(harness).advance(2_900);
        assertThat(exits).isEmpty();
        harness.lastSend().answer(200);
        harness.advance(100);
        assertThat(exits).hasSize(1);
    }

    @Test
    void theLastResponseToAnotherRouterHasTimeToBeSentBeforeExit() {
        int[] jobs = {1};
        ServingHarness harness = new ServingHarness();
        new GracefulShutdown(
                        harness.loop,
                        STOP_MILLIS,
                        harness.engine,
                        () -> jobs[0],
                        () -> exits.add("exit"))
                .begin();
        harness.advance(2_999);
        jobs[0] = 0;
        harness.advance(1);
        assertThat(exits).isEmpty();
        harness.advance(50);
        assertThat(exits).hasSize(1);
    }

    @Test
    void onlyRequestsLateInTheShutdownAreRefusedAsNotRun() {
        ServingHarness harness =
                shutDown(
                        new ServingHarness()
                                .with(ServingHarness.route(RetryRule.AT_MOST_ONCE, false, 1)));
        harness.advance(2_000).request();
        assertThat(harness.sends).hasSize(1);
        harness.advance(500);
        harness.with(1, ServingHarness.route(RetryRule.AT_MOST_ONCE, false, 1), List.of("key"));
        harness.advance(600).request();
        assertThat(harness.sends).hasSize(1);
        assertThat(harness.refusalStatus()).isEqualTo(503);
    }

    @Test
    void theProcessExitsBeforeItIsKilled() {
        ServingHarness harness =
                new ServingHarness()
                        .with(ServingHarness.route(RetryRule.AT_MOST_ONCE, false, 1))
                        .request();
        shutDown(harness).advance(STOP_MILLIS);
        assertThat(exits).isNotEmpty();
    }

    /** A route whose requests may last longer than the shutdown. */
    private static ServiceRoute longRoute(List<StageStep> stages) {
        return new ServiceRoute(
                "r",
                "h",
                "/r/",
                false,
                RetryRule.IDEMPOTENT,
                10_000,
                500,
                300,
                0,
                0,
                2,
                List.of(new ServiceShare("s", 1)),
                stages,
                false);
    }

    private void advanceToExit(ServingHarness harness) {
        while (exits.isEmpty()) {
            harness.advance(10);
        }
    }

    @Test
    void aRequestThatWaitsForItsStagesIsRefusedBeforeExit() {
        ServingHarness harness =
                shutDown(
                        new ServingHarness()
                                .with(longRoute(List.of(new StageStep("t", List.of(), 10)))));
        harness.advance(2_560).request("key", List.of(1));
        assertThat(harness.jobs).hasSize(1);
        advanceToExit(harness);
        assertThat(harness.refusalStatus()).isEqualTo(503);
    }
}
