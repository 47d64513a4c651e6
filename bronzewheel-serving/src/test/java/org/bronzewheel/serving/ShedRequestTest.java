package org.bronzewheel.serving;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.OptionalInt;
import org.bronzewheel.catalog.RetryRule;
import org.bronzewheel.catalog.StageStep;
import org.bronzewheel.catalog.WorkspaceEntry;
import org.bronzewheel.stages.StageFailure;
import org.junit.jupiter.api.Test;

/** Tests what the caller of a request gets that the owner of a stage service sheds. */
class ShedRequestTest {
    private static final long STAGE_WAIT_MILLIS = 1_000;

    private static ServingHarness shed(int priorityOfAnotherWorkspace) {
        ServingHarness harness =
                new ServingHarness()
                        .withWorkspaces(
                                ServingHarness.route(
                                        RetryRule.AT_MOST_ONCE,
                                        true,
                                        2,
                                        List.of(new StageStep("stage", List.of(), 10))),
                                new WorkspaceEntry("w", List.of("key"), OptionalInt.of(0)),
                                new WorkspaceEntry(
                                        "x",
                                        List.of("other"),
                                        OptionalInt.of(priorityOfAnotherWorkspace)));
        harness.expectedWaitMillis = STAGE_WAIT_MILLIS;
        harness.request("key", List.of(1)).advance(0);
        harness.jobs.get(0).fail(StageFailure.LATE);
        return harness.advance(0);
    }

    // Guards against a caller of an at-most-once request that may not retry.
    @Test
    void requestIsRefusedAtOnceAsNotRun() {
        ServingHarness harness = shed(1);
        assertThat(harness.refusalStatus()).isEqualTo(503);
        assertThat(harness.sends).isEmpty();
    }

    // Guards against callers that return while there is no room for them.
    @Test
    void callerReturnsOnceItsRequestCouldMeetItsObjective() {
        assertThat(shed(1).refusals.get(0).retryAfterMillis().getAsLong()).isAtLeast(670);
        assertThat(shed(0).refusals.get(0).retryAfterMillis().getAsLong()).isAtMost(650);
    }
}
