package org.bronzewheel.execution;

import io.reactivex.rxjava3.core.Single;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.inventory.Upstream;
import org.bronzewheel.request.Outcome;

/** A source that gives each attempt the worker with the least own calls in flight. */
final class LeastInFlightWorkers implements WorkerSource {
    private final Map<String, AtomicInteger> inFlight = new ConcurrentHashMap<>();

    @Override
    public Single<Placement> place(RunContext run, int stageIndex, Set<String> excluded) {
        List<Upstream> all = run.pool(stageIndex).upstreams();
        List<Upstream> fresh = all.stream().filter(u -> !excluded.contains(u.name())).toList();
        return (fresh.isEmpty() ? all : fresh)
                .stream()
                        .min(Comparator.comparingInt(u -> counter(u).get()))
                        .<Single<Placement>>map(u -> Single.just(place(u)))
                        .orElseGet(
                                () ->
                                        Single.error(
                                                new BronzewheelException(
                                                        ErrorCode.NO_UPSTREAM,
                                                        "the pool has no upstream")));
    }

    private Placement place(Upstream upstream) {
        counter(upstream).incrementAndGet();
        AtomicBoolean ended = new AtomicBoolean();
        return new Placement() {
            @Override
            public Upstream upstream() {
                return upstream;
            }

            @Override
            public void end(Outcome outcome, long latencyNanos) {
                if (ended.compareAndSet(false, true)) {
                    counter(upstream).decrementAndGet();
                }
            }
        };
    }

    private AtomicInteger counter(Upstream upstream) {
        return inFlight.computeIfAbsent(upstream.name(), name -> new AtomicInteger());
    }
}
