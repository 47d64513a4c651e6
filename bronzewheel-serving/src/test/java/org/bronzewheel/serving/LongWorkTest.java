package org.bronzewheel.serving;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.bronzewheel.catalog.RetryRule;
import org.bronzewheel.catalog.ServiceRoute;
import org.bronzewheel.catalog.ServiceShare;
import org.junit.jupiter.api.Test;

/**
 * Sends requests of routes whose work takes most of the time that their callers wait. Guards
 * against routes that are never served, as each attempt is replaced before it can be answered.
 */
class LongWorkTest {
    private static final long TIMEOUT_MILLIS = 1_000;
    private static final long LONG_MILLIS = 650;
    private static final long SHORT_MILLIS = 50;
    private static final int STEP_MILLIS = 10;

    private final ServingHarness harness = new ServingHarness();
    private long version;

    private static ServiceRoute plain(
            String name, int attempts, long timeoutMillis, long objectiveMillis) {
        return new ServiceRoute(
                name,
                "h",
                "/r/",
                false,
                RetryRule.IDEMPOTENT,
                timeoutMillis,
                objectiveMillis,
                0,
                0,
                0,
                attempts,
                List.of(new ServiceShare("s", 1)),
                List.of(),
                true);
    }

    private void use(ServiceRoute route) {
        version++;
        harness.with(version, route, List.of("key"));
    }

    /** Sends a request; each attempt that is not cancelled is answered after the given time. */
    private boolean isServed(long workMillis) {
        return isServed(workMillis, Set.of());
    }

    /**
     * Sends a request; each attempt that is not cancelled is answered after the given time, unless
     * its upstream is silent.
     */
    private boolean isServed(long workMillis, Set<String> silentIds) {
        harness.finished = false;
        harness.refusals.clear();
        harness.sends.clear();
        harness.request();
        List<Long> sentMillis = new ArrayList<>();
        while (!harness.finished && harness.refusals.isEmpty()) {
            harness.advance(sentMillis.isEmpty() ? 0 : STEP_MILLIS);
            while (sentMillis.size() < harness.sends.size()) {
                sentMillis.add(harness.loop.nowMillis());
            }
            for (int i = 0; i < sentMillis.size() && !harness.finished; i++) {
                ServingHarness.Sent sent = harness.sends.get(i);
                boolean due = harness.loop.nowMillis() - sentMillis.get(i) >= workMillis;
                if (due && !sent.cancelled && !silentIds.contains(sent.call.target().id())) {
                    sent.answer(200);
                }
            }
        }
        harness.advance(1_000);
        return harness.finished;
    }

    private int served(int requests, long workMillis) {
        int served = 0;
        for (int i = 0; i < requests; i++) {
            served += isServed(workMillis) ? 1 : 0;
        }
        return served;
    }

    @Test
    void aRouteIsServedFromItsFirstRequestIfItsWorkFitsTheObjective() {
        use(plain("r", 2, TIMEOUT_MILLIS, 800));
        assertThat(served(4, LONG_MILLIS)).isEqualTo(4);
        assertThat(harness.sends).hasSize(1);
    }

    @Test
    void aRouteThatMissesItsObjectiveIsServed() {
        use(plain("r", 2, TIMEOUT_MILLIS, 300));
        assertThat(served(4, LONG_MILLIS)).isEqualTo(4);
    }

    @Test
    void aRouteWithThreeAttemptsIsServedOnceUnansweredAttemptsHaveShownItsTime() {
        use(plain("r", 3, 2_000, 300));
        assertThat(served(5, 1_500)).isAtLeast(4);
    }

    @Test
    void aRouteIsServedAtUpstreamsThatAnswerAnotherRouteSooner() {
        use(plain("first", 2, TIMEOUT_MILLIS, 300));
        assertThat(served(20, SHORT_MILLIS)).isEqualTo(20);
        use(plain("later", 2, TIMEOUT_MILLIS, 300));
        assertThat(served(4, LONG_MILLIS)).isEqualTo(4);
    }

    @Test
    void aRouteWhoseWorkBecomesLongerIsServedAgainAfterAFewRequests() {
        use(plain("r", 2, TIMEOUT_MILLIS, 300));
        assertThat(served(20, SHORT_MILLIS)).isEqualTo(20);
        assertThat(served(10, LONG_MILLIS)).isAtLeast(8);
    }

    @Test
    void aRequestLeavesAnUpstreamThatIsSilentForLongerThanUsual() {
        use(plain("r", 2, TIMEOUT_MILLIS, 300));
        assertThat(served(20, SHORT_MILLIS)).isEqualTo(20);
        for (String silent : List.of("u1", "u2", "u3")) {
            assertThat(isServed(SHORT_MILLIS, Set.of(silent))).isTrue();
        }
    }

    @Test
    void aRequestLeavesASilentUpstreamBeforeAnyAnswerIfThereIsTimeForAnother() {
        use(plain("r", 2, 4_000, 300));
        for (String silent : List.of("u1", "u2", "u3")) {
            assertThat(isServed(SHORT_MILLIS, Set.of(silent))).isTrue();
        }
    }

    @Test
    void aStreamStaysAtAnIdleEngineThatReadsItsPromptForMostOfTheTime() {
        harness.with(ServingHarness.route(RetryRule.RESUMABLE, true, 2)).request();
        harness.advance(1_700);
        assertThat(harness.sends).hasSize(1);
        harness.lastSend().head(200);
        harness.lastSend().data("id: 1\ndata: a\n\n");
        harness.lastSend().listener.onEnd();
        assertThat(harness.finished).isTrue();
    }

    // Guards against waits for failed engines that grow with the queues of sound ones.
    @Test
    void aStreamLeavesASilentEngineAfterASecondWhateverTheUsualTimeToAFirstEvent() {
        harness.with(ServingHarness.route(RetryRule.RESUMABLE, true, 2));
        for (long firstEventMillis : List.of(200L, 900L, 900L, 900L, 900L, 900L)) {
            harness.request();
            harness.advance(firstEventMillis);
            harness.lastSend().head(200);
            harness.lastSend().data("id: 1\ndata: a\n\n");
            harness.lastSend().listener.onEnd();
            harness.advance(5_000);
            harness.catalog.confirm(1, harness.loop.now());
        }
        harness.sends.clear();
        harness.request();
        harness.advance(1_200);
        assertThat(harness.sends).hasSize(2);
        assertThat(harness.sends.get(0).cancelled).isTrue();
    }

    @Test
    void oneUpstreamThatDoesNotAnswerSaysNothingOfTheTimeOfAnswers() {
        AnswerTimes times = new AnswerTimes();
        times.recordAnswer("r", "s", 100);
        times.recordNoAnswer("r", "s", "u1", 900);
        times.recordNoAnswer("r", "s", "u1", 800);
        assertThat(times.boundMillis("r", "s")).isEqualTo(0);
        times.recordNoAnswer("r", "s", "u2", 700);
        assertThat(times.boundMillis("r", "s")).isEqualTo(900);
        assertThat(times.usualMillis("r", "s")).isEqualTo(100.0);
        times.recordAnswer("r", "s", 50);
        assertThat(times.boundMillis("r", "s")).isEqualTo(0);
        assertThat(times.usualMillis("r", "s")).isEqualTo(90.0);
        assertThat(times.leastMillis("r", "s")).isEqualTo(50);
        assertThat(times.hasAnswer("r", "other")).isFalse();
    }
}
