package org.bronzewheel.serving;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.bronzewheel.catalog.RetryRule;
import org.bronzewheel.catalog.StageStep;
import org.bronzewheel.catalog.WorkspaceEntry;
import org.bronzewheel.permits.PermitDecision;
import org.junit.jupiter.api.Test;

/** Tests that everything that a request asks for is asked for by its effective rank. */
class RequestRankTest {
    private static final WorkspaceEntry URGENT =
            new WorkspaceEntry("urgent", List.of("first"), OptionalInt.of(0));
    private static final WorkspaceEntry OTHER =
            new WorkspaceEntry("other", List.of("second"), OptionalInt.of(1));

    private static ServingHarness harness() {
        List<StageStep> stages = List.of(new StageStep("stage", List.of(), 10));
        return new ServingHarness()
                .withWorkspaces(
                        ServingHarness.route(RetryRule.IDEMPOTENT, true, 2, stages), URGENT, OTHER);
    }

    // Guards against parts that still go by the priority of the route, which is 0 here.
    @Test
    void stagesPermitsAndEnginesAreAskedByTheRankOfTheWorkspace() {
        ServingHarness harness = harness();
        List.of("u1", "u2", "u3").forEach(harness.permits::limit);
        harness.request("second", List.of(1));
        harness.advance(0);
        harness.permits.limit("s");
        assertThat(harness.jobs.get(0).job().rank()).isEqualTo(1);
        assertThat(harness.waitRanks).containsExactly(1);
        harness.jobs.get(0).done();
        harness.advance(0);
        assertThat(harness.permits.questions().get(0).rank()).isEqualTo(1);
        harness.permits.decide(PermitDecision.GRANTED);
        assertThat(harness.lastSend().call.urgency()).isEqualTo(Optional.of(3));
    }

    @Test
    void urgentWorkspaceHasTheMostUrgentRank() {
        ServingHarness harness = harness().request("first", List.of(1));
        harness.advance(0);
        assertThat(harness.jobs.get(0).job().rank()).isEqualTo(0);
        harness.jobs.get(0).done();
        assertThat(harness.lastSend().call.urgency()).isEqualTo(Optional.of(1));
    }

    // Guards against shares of ranks that are computed from the wrong demand.
    @Test
    void unmetDemandIsReportedByTheRankOfTheWorkspace() {
        ServingHarness harness = harness();
        harness.expectedWaitMillis = 60_000;
        harness.request("second", List.of(4));
        harness.advance(0);
        assertThat(harness.refusalStatus()).isEqualTo(503);
        assertThat(harness.unmetRanks).containsExactly(1);
    }
}
