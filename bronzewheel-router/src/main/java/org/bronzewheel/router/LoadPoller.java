package org.bronzewheel.router;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.bronzewheel.configuration.Configuration;
import org.bronzewheel.execution.Execution;
import org.bronzewheel.inventory.Pool;
import org.bronzewheel.inventory.PoolKind;
import org.bronzewheel.inventory.Upstream;
import org.bronzewheel.routing.LoadReport;
import org.bronzewheel.service.Service;
import org.bronzewheel.upstream.CacheEvents;
import org.bronzewheel.upstream.ControlClient;

/**
 * A reader of load reports and cache events. Each round reads a few upstreams in turn, so that its
 * traffic does not grow with the fleet.
 */
final class LoadPoller implements Service {
    private static final int UPSTREAMS_PER_ROUND = 4;

    private final ControlClient client;
    private final Execution execution;
    private final Supplier<Optional<Configuration>> configuration;
    private final long periodMillis;
    private final Scheduler scheduler;
    private final LongSupplier nanoClock;
    private final Map<String, Long> lastCacheEvent = new HashMap<>();
    private int position;
    private Disposable rounds = Disposable.disposed();

    LoadPoller(
            ControlClient client,
            Execution execution,
            Supplier<Optional<Configuration>> configuration,
            long periodMillis,
            Scheduler scheduler,
            LongSupplier nanoClock) {
        this.client = client;
        this.execution = execution;
        this.configuration = configuration;
        this.periodMillis = periodMillis;
        this.scheduler = scheduler;
        this.nanoClock = nanoClock;
    }

    private record Target(Pool pool, Upstream upstream) {}

    @Override
    public void start() {
        rounds =
                scheduler.schedulePeriodicallyDirect(
                        this::round, periodMillis, periodMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        rounds.dispose();
    }

    private void round() {
        List<Target> targets = configuration.get().map(LoadPoller::targets).orElse(List.of());
        int count = Math.min(UPSTREAMS_PER_ROUND, targets.size());
        for (int i = 0; i < count; i++) {
            position = (position + 1) % targets.size();
            read(targets.get(position));
        }
    }

    private static List<Target> targets(Configuration configuration) {
        List<Target> targets = new ArrayList<>();
        for (Pool pool : configuration.inventory().pools()) {
            if (pool.reportsLoad() || pool.kind() == PoolKind.MODEL_ENGINE) {
                pool.upstreams().forEach(u -> targets.add(new Target(pool, u)));
            }
        }
        return targets;
    }

    private void read(Target target) {
        if (target.pool().reportsLoad()) {
            readLoad(target);
        }
        if (target.pool().kind() == PoolKind.MODEL_ENGINE) {
            readCacheEvents(target);
        }
    }

    private void readLoad(Target target) {
        long askedNanos = nanoClock.getAsLong();
        client.readLoad(target.upstream())
                .map(
                        report ->
                                new LoadReport(
                                        target.upstream().name(),
                                        report.inFlight(),
                                        report.queued(),
                                        report.sequence(),
                                        askedNanos))
                // Without a report the policies go by the own calls.
                .doOnSuccess(report -> execution.onLoadReport(target.pool(), report))
                .ignoreElement()
                .onErrorComplete()
                .subscribe();
    }

    private void readCacheEvents(Target target) {
        String name = target.upstream().name();
        long after;
        synchronized (lastCacheEvent) {
            after = lastCacheEvent.getOrDefault(name, 0L);
        }
        client.readCacheEvents(target.upstream(), after)
                .doOnSuccess(events -> take(target, events))
                .ignoreElement()
                .onErrorComplete()
                .subscribe();
    }

    private void take(Target target, CacheEvents events) {
        String name = target.upstream().name();
        events.events()
                .forEach(
                        event -> {
                            synchronized (lastCacheEvent) {
                                lastCacheEvent.merge(name, event.sequence(), Math::max);
                            }
                            execution.onCacheEvent(
                                    target.pool(), name, event.prefixHash(), event.stored());
                        });
    }
}
