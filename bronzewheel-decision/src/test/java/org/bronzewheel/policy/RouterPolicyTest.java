package org.bronzewheel.policy;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.inventory.Pool;
import org.bronzewheel.inventory.PoolKind;
import org.bronzewheel.inventory.Upstream;
import org.bronzewheel.inventory.Workspace;
import org.bronzewheel.request.Outcome;
import org.bronzewheel.routing.OpenCall;
import org.bronzewheel.rules.Pipeline;
import org.bronzewheel.rules.RequestClass;
import org.bronzewheel.rules.Stage;
import org.junit.jupiter.api.Test;

class RouterPolicyTest {
    private static final long MILLI = 1_000_000L;
    private static final RequestClass URGENT = new RequestClass("urgent", 0, 1_000, 0, 5);
    private static final RequestClass CHEAP = new RequestClass("cheap", 0, 1_000, 0, 0);
    private static final RequestClass BULK = new RequestClass("bulk", 1, 60_000, 0, 5);
    private static final Workspace WORKSPACE = new Workspace("w", 1, 0);
    private static final Pipeline LOOKUP = pipeline(true);
    private static final Pipeline BOOKING = pipeline(false);

    private final SplittableRandom random = new SplittableRandom(1);
    private final RouterPolicy<String> router =
            new RouterPolicy<>("domain-0", 1, PolicySettings.defaults());
    private final PoolPolicy<String> pool = router.pool(pool(2, 2, 0), 0);

    @Test
    void requestIsAdmittedAfterColdStart() {
        assertThat(router.admit(LOOKUP, URGENT, WORKSPACE, 1, 0)).isEmpty();
    }

    @Test
    void requestThatCannotMeetItsDeadlineIsRefusedBeforeItsFirstStage() {
        answer(LOOKUP, URGENT, 100 * MILLI, 20);
        long now = 10_000 * MILLI;
        assertThat(
                        router.admit(LOOKUP, URGENT, WORKSPACE, now + 50 * MILLI, now)
                                .orElseThrow()
                                .code())
                .isEqualTo(ErrorCode.DEADLINE_TOO_SHORT);
        assertThat(router.admit(LOOKUP, URGENT, WORKSPACE, now + 500 * MILLI, now)).isEmpty();
    }

    @Test
    void workIsQueuedWhenWorkersAreFullExceptFirstPriorityHeadroom() {
        for (int i = 0; i < 6; i++) {
            pool.offer("bulk", request(LOOKUP, BULK), 0);
        }
        assertThat(pool.poll(0, random).dispatches()).hasSize(4);
        assertThat(pool.hasWaiting()).isTrue();
        pool.offer("urgent", request(LOOKUP, URGENT), 0);
        List<Dispatch<String>> next = pool.poll(0, random).dispatches();
        assertThat(next.stream().map(Dispatch::item).toList()).containsExactly("urgent");
    }

    @Test
    void lowerPriorityDoesNotOvertakeHigherPriorityThatFoundNoCapacity() {
        RequestClass standard = new RequestClass("standard", 1, 60_000, 0, 5);
        RequestClass last = new RequestClass("last", 2, 60_000, 0, 5);
        PoolPolicy<String> large = router.pool(pool(18, 1, 0, "large"), 0);
        for (int i = 0; i < 30; i++) {
            large.offer("standard", request(LOOKUP, standard), 0);
            large.offer("last", request(LOOKUP, last), 0);
        }
        for (int i = 0; i < 5; i++) {
            large.poll(0, random)
                    .dispatches()
                    .forEach(d -> assertThat(d.item()).isEqualTo("standard"));
        }
    }

    @Test
    void nonIdempotentStageIsNeverHedged() {
        answer(BOOKING, URGENT, 10 * MILLI, 20);
        OpenCall first = dispatch(BOOKING, URGENT);
        StageRequest request = request(BOOKING, URGENT);
        assertThat(pool.hedgeDelayNanos(request).isPresent()).isFalse();
        assertThat(pool.hedge(request, first, 0, random)).isEmpty();
    }

    @Test
    void hedgeUsesAnotherWorkerAndRequiresExtraCostBudget() {
        answer(LOOKUP, URGENT, 10 * MILLI, 20);
        OpenCall first = dispatch(LOOKUP, URGENT);
        assertThat(pool.hedgeDelayNanos(request(LOOKUP, URGENT)).isPresent()).isTrue();
        Optional<OpenCall> second = pool.hedge(request(LOOKUP, URGENT), first, 0, random);
        assertThat(second.orElseThrow().upstream()).isNotEqualTo(first.upstream());
        OpenCall cheap = dispatch(LOOKUP, CHEAP);
        assertThat(pool.hedge(request(LOOKUP, CHEAP), cheap, 0, random)).isEmpty();
    }

    @Test
    void noHedgeIsSentAfterTheDeadline() {
        OpenCall first = dispatch(LOOKUP, URGENT);
        StageRequest late = request(LOOKUP, URGENT);
        assertThat(pool.hedge(late, first, late.deadlineNanos(), random)).isEmpty();
    }

    @Test
    void poolRateLimitIsDividedBetweenRouters() {
        RouterPolicy<String> one = new RouterPolicy<>("", 4, PolicySettings.defaults());
        PoolPolicy<String> limited = one.pool(pool(10, 100, 400), 0);
        int sent = 0;
        for (int i = 0; i < 1_000; i++) {
            long now = i * MILLI;
            limited.offer("x", request(LOOKUP, BULK), now);
            sent += limited.poll(now, random).dispatches().size();
        }
        assertThat(sent).isAtMost(100 + 10);
        assertThat(sent).isAtLeast(90);
    }

    private void answer(Pipeline pipeline, RequestClass requestClass, long latency, int times) {
        StageRequest request = request(pipeline, requestClass);
        for (int i = 0; i < times; i++) {
            OpenCall call = dispatch(pipeline, requestClass);
            pool.onEnd(request, call, Outcome.ANSWERED, latency);
        }
    }

    private OpenCall dispatch(Pipeline pipeline, RequestClass requestClass) {
        pool.offer("x", request(pipeline, requestClass), 0);
        List<Dispatch<String>> dispatches = new ArrayList<>(pool.poll(0, random).dispatches());
        assertThat(dispatches).hasSize(1);
        return dispatches.get(0).call();
    }

    private static StageRequest request(Pipeline pipeline, RequestClass requestClass) {
        long deadline = requestClass.deadlineMillis() * MILLI;
        return RouterPolicy.stageRequest(pipeline, 0, requestClass, "w", deadline);
    }

    private static Pipeline pipeline(boolean idempotent) {
        Stage stage = new Stage("stage", "pool", idempotent, "", "", 0);
        return new Pipeline("pipeline-" + idempotent, List.of(stage));
    }

    private static Pool pool(int size, int concurrency, int callsPerSecond) {
        return pool(size, concurrency, callsPerSecond, "pool");
    }

    private static Pool pool(int size, int concurrency, int callsPerSecond, String name) {
        List<Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            upstreams.add(new Upstream(name + i, "vm" + i, "127.0.0.1:1", "domain-" + i % 3));
        }
        return new Pool(
                name,
                PoolKind.RETRIEVER,
                concurrency,
                true,
                false,
                false,
                false,
                callsPerSecond,
                List.of(),
                upstreams);
    }
}
