package org.bronzewheel.serving;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.bronzewheel.catalog.RetryRule;
import org.junit.jupiter.api.Test;

/** Tests that the logs name the origin of each answer, also of those that are not forwarded. */
class AnswerOriginTest {
    private static final String EVENT_1 = "id: 1\ndata: a\n\n";
    private static final String EVENT_2 = "id: 2\ndata: b\n\n";

    @Test
    void logsTellWhichOfTwoAnswersWasForwarded() {
        ServingHarness harness = harness(RetryRule.IDEMPOTENT, false);
        String first = answerHead(harness.lastSend(), 500, 4, 2, "s1");
        ServingHarness.Sent second = harness.lastSend();
        String forwarded = answerHead(second, 200, 9, 0, "s2");
        second.data("body");
        second.listener.onEnd();

        assertThat(harness.decisions).contains("ATTEMPT_FAILED status=500 " + first + " millis=0");
        assertThat(harness.decisions)
                .contains("ATTEMPT_SUCCEEDED status=200 " + forwarded + " millis=0");
        assertThat(harness.outcomeDetail).isEqualTo("status 200 " + forwarded);
    }

    // The head of a resumed stream is that of its first upstream.
    @Test
    void logsTellWhoseHeadAResumedStreamBears() {
        ServingHarness harness = harness(RetryRule.RESUMABLE, true);
        ServingHarness.Sent first = harness.lastSend();
        String forwarded = answerHead(first, 200, 4, 0, "s1");
        first.data(EVENT_1);
        first.listener.onFailure(CallFailure.BROKEN, "crash");
        ServingHarness.Sent second = harness.lastSend();
        String other = answerHead(second, 200, 9, 0, "s2");
        second.data(EVENT_2);
        second.listener.onEnd();

        assertThat(harness.body.toString()).isEqualTo(EVENT_1 + EVENT_2);
        assertThat(harness.decisions)
                .contains("ATTEMPT_FAILED status=200 " + forwarded + " millis=0");
        assertThat(harness.decisions)
                .contains("ATTEMPT_SUCCEEDED status=200 " + other + " millis=0");
        assertThat(harness.outcomeDetail).isEqualTo("status 200 " + forwarded);
    }

    @Test
    void logsTellTheConnectionOfAnAttemptWithoutAnAnswer() {
        ServingHarness harness = harness(RetryRule.IDEMPOTENT, false);
        ServingHarness.Sent first = harness.lastSend();
        String upstreamId = first.call.target().id();
        first.listener.onConnected(new ConnectionUse(upstreamId, 4, 2));
        first.listener.onFailure(CallFailure.BROKEN, "crash");

        assertThat(harness.decisions)
                .contains(
                        "ATTEMPT_FAILED status=none upstream="
                                + upstreamId
                                + " connection=4 carriedBefore=2 millis=0");
    }

    private static ServingHarness harness(RetryRule rule, boolean streaming) {
        return new ServingHarness().with(ServingHarness.route(rule, streaming, 2)).request();
    }

    /** Answers with a head; returns what the logs must tell of its origin. */
    private static String answerHead(
            ServingHarness.Sent sent,
            int status,
            long connection,
            long carriedBefore,
            String signature) {
        String upstreamId = sent.call.target().id();
        sent.listener.onHead(
                new UpstreamHead(
                        status,
                        List.of(),
                        true,
                        false,
                        false,
                        false,
                        signature,
                        new ConnectionUse(upstreamId, connection, carriedBefore)));
        return "upstream=%s connection=%d carriedBefore=%d signature=%s"
                .formatted(upstreamId, connection, carriedBefore, signature);
    }
}
