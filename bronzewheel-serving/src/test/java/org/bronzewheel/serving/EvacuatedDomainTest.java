package org.bronzewheel.serving;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.bronzewheel.catalog.RetryRule;
import org.bronzewheel.catalog.StageStep;
import org.bronzewheel.permits.PermitDecision;
import org.bronzewheel.upstreams.UpstreamEntry;
import org.junit.jupiter.api.Test;

/** Tests that requests in any state leave the upstreams of an evacuated domain alone. */
class EvacuatedDomainTest {
    private static final String EVENT_1 = "id: 1\ndata: a\n\n";

    /** Starts routers with the upstreams u1 and u2 in domain d and u3 in domain e. */
    private static ServingHarness harness(
            RetryRule rule, boolean streaming, int attempts, StageStep... stages) {
        ServingHarness harness =
                new ServingHarness()
                        .with(ServingHarness.route(rule, streaming, attempts, List.of(stages)));
        harness.upstreams.replaceAll(
                List.of(entry("u1", "d"), entry("u2", "d"), entry("u3", "e")), 0);
        return harness;
    }

    private static UpstreamEntry entry(String id, String domain) {
        return new UpstreamEntry(id, "s", "10.0.0.1:80", domain, 8, 0, false);
    }

    private static String target(ServingHarness.Sent sent) {
        return sent.call.target().id();
    }

    @Test
    void aNewRequestGoesToAnotherDomain() {
        ServingHarness harness = harness(RetryRule.AT_MOST_ONCE, false, 1);
        harness.upstreams.evacuate("d");
        harness.request();
        assertThat(target(harness.lastSend())).isEqualTo("u3");
    }

    // A request held until its deadline would cost its caller the time for a repeat elsewhere.
    @Test
    void aRequestIsRefusedAtOnceAsNotRunIfAllUpstreamsAreInEvacuatedDomains() {
        ServingHarness harness = harness(RetryRule.IDEMPOTENT, false, 3);
        harness.upstreams.evacuate("d");
        harness.upstreams.evacuate("e");
        harness.request();
        assertThat(harness.sends).isEmpty();
        assertThat(harness.refusalStatus()).isEqualTo(503);
    }

    // Guards against requests whose other stages run in vain until their deadline.
    @Test
    void aRequestIsRefusedAtOnceIfAStageServiceHasNoUpstreamOutsideOfEvacuatedDomains() {
        ServingHarness harness =
                harness(
                        RetryRule.RESUMABLE,
                        true,
                        2,
                        new StageStep("t", List.of(), 10),
                        new StageStep("v", List.of(), 10));
        harness.upstreams.put(new UpstreamEntry("v1", "v", "10.0.0.1:80", "f", 1, 0, false), 0);
        harness.upstreams.evacuate("f");
        harness.request("key", List.of(1, 1));
        assertThat(harness.jobs).isEmpty();
        assertThat(harness.refusalStatus()).isEqualTo(503);
    }

    @Test
    void aPermitForAnUpstreamThatWasEvacuatedMeanwhileIsNotUsed() {
        ServingHarness harness = harness(RetryRule.AT_MOST_ONCE, false, 1);
        List.of("u1", "u2", "u3").forEach(harness.permits::limit);
        harness.request();
        String first = harness.permits.questions().get(0).name();
        harness.upstreams.replaceAll(
                List.of(entry("u1", "d"), entry("u2", "d"), entry("u3", "d")), Set.of("d"), 0);
        harness.permits.decide(PermitDecision.GRANTED);
        assertThat(first).isNotEmpty();
        assertThat(harness.sends).isEmpty();
        assertThat(harness.refusalStatus()).isEqualTo(503);
    }

    // The connection pool withholds a request whose upstream is evacuated before its first byte.
    @Test
    void aWithheldRequestGoesToAnotherDomain() {
        ServingHarness harness = harness(RetryRule.AT_MOST_ONCE, false, 1).request();
        ServingHarness.Sent first = harness.lastSend();
        assertThat(first.call.target().failureDomain()).isEqualTo("d");
        harness.upstreams.evacuate("d");
        assertThat(harness.upstreams.takesNew(first.call.target(), 0)).isFalse();
        first.listener.onFailure(CallFailure.WITHHELD, "evacuated");
        assertThat(target(harness.lastSend())).isEqualTo("u3");
    }

    @Test
    void aRunningRequestFinishesThere() {
        ServingHarness harness = harness(RetryRule.AT_MOST_ONCE, false, 1).request();
        ServingHarness.Sent sent = harness.lastSend();
        harness.upstreams.evacuate("d");
        harness.advance(300);
        sent.answer(200);
        assertThat(harness.finished).isTrue();
        assertThat(sent.cancelled).isFalse();
    }

    @Test
    void aBrokenStreamIsResumedInAnotherDomain() {
        ServingHarness harness = harness(RetryRule.RESUMABLE, true, 2).request();
        ServingHarness.Sent first = harness.lastSend();
        first.head(200);
        first.data(EVENT_1);
        String domain = first.call.target().failureDomain();
        harness.upstreams.evacuate(domain);
        first.listener.onFailure(CallFailure.BROKEN, "reset");
        ServingHarness.Sent second = harness.lastSend();
        assertThat(second.call.resumeAfter()).hasValue(1L);
        assertThat(second.call.target().failureDomain()).isNotEqualTo(domain);
    }

    @Test
    void aSilentAttemptIsNotReplacedByOneInAnEvacuatedDomain() {
        ServingHarness harness = harness(RetryRule.RESUMABLE, true, 2).request();
        ServingHarness.Sent first = harness.lastSend();
        first.head(200);
        first.data(EVENT_1);
        harness.upstreams.evacuate("d");
        harness.upstreams.evacuate("e");
        harness.advance(ServingHarness.CALLER_SILENCE_MILLIS / 2 + 100);
        assertThat(harness.sends).hasSize(1);
        assertThat(first.cancelled).isFalse();
    }

    @Test
    void aRequestWhoseStagesAreDoneGoesToAnotherDomain() {
        ServingHarness harness =
                harness(RetryRule.RESUMABLE, true, 2, new StageStep("t", List.of(), 10));
        harness.request("key", List.of(1));
        harness.upstreams.evacuate("d");
        harness.jobs.get(0).done();
        assertThat(target(harness.lastSend())).isEqualTo("u3");
    }
}
