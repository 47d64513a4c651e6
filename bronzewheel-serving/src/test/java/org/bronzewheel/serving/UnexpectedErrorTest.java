package org.bronzewheel.serving;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.bronzewheel.catalog.RetryRule;
import org.bronzewheel.catalog.StageStep;
import org.bronzewheel.serving.ServingHarness.Fault;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Checks that errors in a dependency leave no request without an answer. */
class UnexpectedErrorTest {
    private static void assertFailed(ServingHarness harness) {
        assertThat(harness.refusalStatus()).isEqualTo(Refusal.BAD_GATEWAY);
        assertThat(harness.engine.runningRequests()).isEqualTo(0);
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void aRequestWhoseRetryThrowsIsAnsweredAtOnce(Fault fault) {
        ServingHarness harness =
                new ServingHarness()
                        .with(ServingHarness.route(RetryRule.IDEMPOTENT, false, 2))
                        .request();
        harness.lastSend().listener.onFailure(CallFailure.BROKEN, "reset");
        harness.fault = fault;
        harness.sendThrows = true;
        harness.advance(10);
        assertFailed(harness);
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void aRequestThatCannotBeSentAfterItsStagesDoesNotFailTheirCall(Fault fault) {
        ServingHarness harness =
                new ServingHarness()
                        .with(
                                ServingHarness.route(
                                        RetryRule.RESUMABLE,
                                        true,
                                        2,
                                        List.of(new StageStep("t", List.of(), 10))));
        harness.request("key", List.of(1));
        harness.fault = fault;
        harness.sendThrows = true;
        harness.jobs.get(0).done();
        harness.advance(10);
        assertFailed(harness);
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void aRejectedRequestWhoseNextSendThrowsIsAnsweredAtOnce(Fault fault) {
        ServingHarness harness =
                new ServingHarness()
                        .with(ServingHarness.route(RetryRule.AT_MOST_ONCE, false, 1))
                        .request();
        harness.fault = fault;
        harness.sendThrows = true;
        harness.sends.get(0).listener.onFailure(CallFailure.NOT_SENT, "refused");
        harness.advance(10);
        assertFailed(harness);
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void anErrorInTheNextStageDoesNotFailTheCallThatBroughtItsInputs(Fault fault) {
        ServingHarness harness =
                new ServingHarness()
                        .with(
                                ServingHarness.route(
                                        RetryRule.RESUMABLE,
                                        true,
                                        2,
                                        List.of(
                                                new StageStep("t", List.of(), 10),
                                                new StageStep("t", List.of(0), 10))));
        harness.request("key", List.of(1, 1));
        harness.fault = fault;
        harness.submitThrows = true;
        harness.jobs.get(0).done();
        assertFailed(harness);
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void aRequestIsAnsweredEvenIfItsStagesCannotBeCancelled(Fault fault) {
        ServingHarness harness =
                new ServingHarness()
                        .with(
                                ServingHarness.route(
                                        RetryRule.RESUMABLE,
                                        true,
                                        2,
                                        List.of(new StageStep("t", List.of(), 10))));
        harness.request("key", List.of(1));
        harness.fault = fault;
        harness.cancelThrows = true;
        harness.advance(5_000);
        assertThat(harness.refusals).hasSize(1);
        assertThat(harness.engine.runningRequests()).isEqualTo(0);
    }

    // LOST: an error after a request had been marked as ended left it without its refusal.
    @ParameterizedTest
    @EnumSource(Fault.class)
    void aRequestIsRefusedEvenIfItsEndCannotBeReported(Fault fault) {
        ServingHarness harness =
                new ServingHarness().with(ServingHarness.route(RetryRule.IDEMPOTENT, false, 2));
        harness.request("key", List.of(1));
        harness.fault = fault;
        harness.failsAtEnd = true;
        harness.advance(5_000);
        assertThat(harness.refusals).hasSize(1);
    }
}
