package org.bronzewheel.serving;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.OptionalInt;
import org.bronzewheel.catalog.CallerAccess;
import org.bronzewheel.catalog.CallerLimits;
import org.bronzewheel.catalog.Catalog;
import org.bronzewheel.catalog.RetryRule;
import org.bronzewheel.catalog.ServiceRoute;
import org.bronzewheel.catalog.ServiceShare;
import org.bronzewheel.catalog.StageStep;
import org.bronzewheel.catalog.WorkspaceEntry;
import org.bronzewheel.permits.PermitDecision;
import org.junit.jupiter.api.Test;

/** Changes the configuration in each state of a request, whose caller must get an answer. */
class ConfigurationChangeTest {
    private static final String EVENT = "id: %d\ndata: x\n\n";
    private static final List<String> UPSTREAMS = List.of("u1", "u2", "u3");

    /** What a request waits for when the configuration changes. */
    private enum State {
        STAGES,
        PERMIT,
        UPSTREAM,
        BACKOFF,
        NEXT_EVENT
    }

    /** What the newer configuration changes. */
    private enum Change {
        ROUTE_RENAMED("r2", "/r/", "s", "key"),
        ROUTE_DROPPED("r", "/other/", "s", "key"),
        ROUTE_MOVED("r", "/r/", "elsewhere", "key"),
        KEY_REVOKED("r", "/r/", "s", "other"),
        SERVICE_DROPPED("r", "/r/", "s", "key");

        private final String name;
        private final String prefix;
        private final String service;
        private final String key;

        Change(String name, String prefix, String service, String key) {
            this.name = name;
            this.prefix = prefix;
            this.service = service;
            this.key = key;
        }

        private void apply(ServingHarness harness, ServiceRoute route) {
            ServiceRoute newer =
                    new ServiceRoute(
                            name,
                            route.host(),
                            prefix,
                            route.streaming(),
                            route.retryRule(),
                            route.timeoutMillis(),
                            route.objectiveMillis(),
                            route.gapObjectiveMillis(),
                            route.callerSilenceMillis(),
                            route.priority(),
                            route.maxAttempts(),
                            List.of(new ServiceShare(service, 1)),
                            route.stages(),
                            route.open());
            if (this == SERVICE_DROPPED) {
                harness.catalog.applyIfNewer(
                        new Catalog(
                                2,
                                List.of(newer),
                                List.of(),
                                CallerAccess.withKeys(
                                        List.of(
                                                new WorkspaceEntry(
                                                        "w", List.of(key), OptionalInt.empty()))),
                                new CallerLimits(1, 1, 1, 1)));
                harness.catalog.confirm(2, harness.loop.now());
            } else {
                harness.with(2, newer, List.of(key));
            }
        }
    }

    private static ServingHarness inState(State state, ServiceRoute route) {
        ServingHarness harness = new ServingHarness().with(route);
        if (state == State.PERMIT) {
            UPSTREAMS.forEach(harness.permits::limit);
        }
        harness.request("key", List.of(1));
        if (state == State.STAGES) {
            return harness;
        }
        harness.jobs.get(0).done();
        harness.advance(0);
        if (state == State.BACKOFF) {
            harness.lastSend().listener.onFailure(CallFailure.NOT_SENT, "refused");
        } else if (state == State.NEXT_EVENT) {
            harness.lastSend().head(200);
            harness.lastSend().data(EVENT.formatted(1));
        }
        return harness;
    }

    /** Lets the stages, permits and upstreams do what the request still waits for. */
    private static void proceed(ServingHarness harness, State state, int answered) {
        if (state == State.STAGES) {
            harness.jobs.get(0).done();
        } else if (state == State.PERMIT) {
            harness.permits.decide(PermitDecision.GRANTED);
        }
        harness.advance(100);
        for (ServingHarness.Sent sent : harness.sends.subList(answered, harness.sends.size())) {
            if (state != State.NEXT_EVENT) {
                sent.head(200);
            }
            sent.data(EVENT.formatted(2));
            sent.listener.onEnd();
        }
        harness.advance(ServingHarness.CALLER_SILENCE_MILLIS - 200);
    }

    @Test
    void aRequestIsAnsweredWhateverAConfigurationChangesWhileItWaits() {
        for (boolean streaming : new boolean[] {true, false}) {
            for (Change change : Change.values()) {
                for (State state : State.values()) {
                    check(streaming, change, state);
                }
            }
        }
    }

    private static void check(boolean streaming, Change change, State state) {
        ServiceRoute route =
                ServingHarness.route(
                        streaming ? RetryRule.RESUMABLE : RetryRule.IDEMPOTENT,
                        streaming,
                        2,
                        List.of(new StageStep("t", List.of(), 10)));
        ServingHarness harness = inState(state, route);
        boolean rejected = state == State.BACKOFF;
        int answered = rejected ? harness.sends.size() : 0;
        assertThat(harness.engine.runningRequests()).isEqualTo(1);
        change.apply(harness, route);
        proceed(harness, state, answered);
        String what = "%s while waiting for %s, stream: %s".formatted(change, state, streaming);
        assertWithMessage(what).that(harness.engine.runningRequests()).isEqualTo(0);
        assertWithMessage(what).that(harness.aborted).isFalse();
        assertWithMessage(what)
                .that(harness.refusals.size() + (harness.finished ? 1 : 0))
                .isEqualTo(1);
    }
}
