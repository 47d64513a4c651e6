package org.bronzewheel.serving;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.bronzewheel.catalog.CallerAccess;
import org.bronzewheel.catalog.CallerLimits;
import org.bronzewheel.catalog.Catalog;
import org.bronzewheel.catalog.RetryRule;
import org.bronzewheel.catalog.ServiceEntry;
import org.bronzewheel.catalog.ServiceRoute;
import org.bronzewheel.catalog.ServiceShare;
import org.bronzewheel.catalog.StagePool;
import org.bronzewheel.catalog.StageStep;
import org.bronzewheel.catalog.WorkspaceEntry;
import org.bronzewheel.stages.StageWait;
import org.bronzewheel.upstreams.UpstreamEntry;
import org.junit.jupiter.api.Test;

/**
 * Sends requests with stages whose calls have other durations than usual. Guards against requests
 * that an idle system refuses by fixed times of stages and upstreams, before it has observed any.
 */
class ShortStagesTest {
    private static final StageWait UNOBSERVED = new StageWait(0, 0, 0);

    private final ServingHarness harness = new ServingHarness();

    private static List<StageStep> chain(int stages) {
        List<StageStep> steps = new ArrayList<>();
        for (int stage = 0; stage < stages; stage++) {
            steps.add(new StageStep("t", stage == 0 ? List.of() : List.of(stage - 1), 100));
        }
        return steps;
    }

    private void use(List<StageStep> steps, double callMillis, long callerSilenceMillis) {
        harness.wait = Optional.of(UNOBSERVED);
        ServiceRoute route =
                new ServiceRoute(
                        "r",
                        "h",
                        "/r/",
                        true,
                        RetryRule.RESUMABLE,
                        15_000,
                        500,
                        200,
                        callerSilenceMillis,
                        0,
                        2,
                        List.of(new ServiceShare("s", 1)),
                        steps,
                        true);
        harness.catalog.applyIfNewer(
                new Catalog(
                        1,
                        List.of(route),
                        List.of(
                                new ServiceEntry("s", 99, Optional.empty(), Optional.empty()),
                                new ServiceEntry(
                                        "t",
                                        99,
                                        Optional.of(
                                                new StagePool(
                                                        1, 2, 7, callMillis, 5, 10_000, 4_000)),
                                        Optional.empty())),
                        CallerAccess.withKeys(
                                List.of(
                                        new WorkspaceEntry(
                                                "w", List.of("key"), OptionalInt.empty()))),
                        new CallerLimits(1, 1, 1, 1)));
        harness.catalog.confirm(1, harness.loop.now());
        harness.upstreams.replaceAll(
                List.of(
                        ServingHarness.upstream("u1"),
                        new UpstreamEntry("t1", "t", "10.0.0.2:80", "d", 1, 0, false)),
                0);
    }

    private boolean isAdmitted(int stages) {
        harness.jobs.clear();
        harness.request("key", chain(stages).stream().map(stage -> 2).toList());
        return harness.refusals.isEmpty() && harness.jobs.size() == 1;
    }

    @Test
    void aChainOfShortStagesIsAdmittedUnderAShortObjective() {
        use(chain(4), 40, 2_000);
        assertThat(isAdmitted(4)).isTrue();
    }

    @Test
    void aLongChainOfShortStagesIsAdmitted() {
        use(chain(12), 40, 2_000);
        assertThat(isAdmitted(12)).isTrue();
    }

    @Test
    void theOwnersOfStagesAreToldTheConfiguredTimesOfLaterStages() {
        use(chain(4), 40, 2_000);
        assertThat(isAdmitted(4)).isTrue();
        assertThat(harness.jobs.get(0).job().leastLaterMillis()).isEqualTo(3 * 50);
    }

    @Test
    void theOwnersOfStagesAreToldTheShortestTimeToAnAnswerOnceItWasObserved() {
        use(chain(1), 40, 2_000);
        assertThat(isAdmitted(1)).isTrue();
        assertThat(harness.jobs.get(0).job().leastLaterMillis()).isEqualTo(0);
        harness.jobs.get(0).done();
        ServingHarness.Sent sent = harness.lastSend();
        harness.advance(70);
        sent.head(200);
        sent.data("id: 1\ndata: a\n\n");
        sent.listener.onEnd();
        assertThat(harness.finished).isTrue();
        assertThat(isAdmitted(1)).isTrue();
        assertThat(harness.jobs.get(0).job().leastLaterMillis()).isEqualTo(70);
    }

    @Test
    void stagesThatTakeMostOfTheTimeAreRunWhileTheirQueuesAreEmpty() {
        use(chain(4), 390, 2_000);
        assertThat(isAdmitted(4)).isTrue();
    }

    @Test
    void stagesThatTakeMostOfTheTimeAreNotRunBehindAQueue() {
        use(chain(4), 390, 2_000);
        harness.wait = Optional.of(new StageWait(50, 0, 0));
        assertThat(isAdmitted(4)).isFalse();
        assertThat(harness.refusalStatus()).isEqualTo(Refusal.UNAVAILABLE);
    }

    @Test
    void stagesThatTakeLongerThanTheCallerWaitsAreNotRun() {
        use(chain(4), 600, 2_000);
        assertThat(isAdmitted(4)).isFalse();
    }

    @Test
    void observedCallsThatAreShorterThanConfiguredOnesCount() {
        use(chain(4), 600, 2_000);
        harness.wait = Optional.of(new StageWait(0, 50, 0));
        assertThat(isAdmitted(4)).isTrue();
    }
}
