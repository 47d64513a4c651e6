package org.bronzewheel.published;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.bronzewheel.catalog.CallerAccess;
import org.bronzewheel.catalog.CallerLimits;
import org.bronzewheel.catalog.Catalog;
import org.bronzewheel.published.PublishedChange.CatalogPut;
import org.bronzewheel.published.PublishedChange.UpstreamPut;
import org.bronzewheel.published.PublishedChange.UpstreamRemoved;
import org.bronzewheel.upstreams.UpstreamEntry;

/**
 * A stand-in, in virtual time, of a platform that may return from a copy of its earlier state. Its
 * writers write again a moment after each return.
 */
final class CopiedStore {
    private static final long STEP_MILLIS = 10;
    private static final int MAX_REWRITE_DELAY_MILLIS = 1_500;
    private static final String CATALOG_KEY = "catalog";

    private final TestScheduler scheduler;
    private final SplittableRandom random;
    private final List<Write> history = new ArrayList<>();
    private final Map<String, PublishedChange> written = new TreeMap<>();
    private final Map<Long, Long> acknowledgedMillis = new HashMap<>();
    private long epoch = 1;
    private long revision;
    private long version;
    private boolean away;
    private int reads;

    private record Write(long revision, long atMillis, String key, PublishedChange change) {}

    CopiedStore(TestScheduler scheduler, SplittableRandom random) {
        this.scheduler = scheduler;
        this.random = random;
    }

    private long nowMillis() {
        return scheduler.now(TimeUnit.MILLISECONDS);
    }

    /** Publishes the next version of the configuration, unless the store is away. */
    void publishVersion() {
        if (!away) {
            version++;
            acknowledgedMillis.put(version, nowMillis());
            write(CATALOG_KEY, catalog(version));
        }
    }

    /** Publishes an entry of an upstream, after its return if the store is away. */
    void publish(UpstreamEntry entry) {
        writeUpstream(entry.id(), new UpstreamPut(entry));
    }

    /** Removes an entry of an upstream, after its return if the store is away. */
    void remove(String id) {
        writeUpstream(id, new UpstreamRemoved(id));
    }

    private void writeUpstream(String id, PublishedChange change) {
        if (away) {
            written.put(id, change);
        } else {
            write(id, change);
        }
    }

    private static CatalogPut catalog(long version) {
        return new CatalogPut(
                new Catalog(
                        version,
                        List.of(),
                        List.of(),
                        CallerAccess.anyCaller(),
                        new CallerLimits(1, 1, 1, 1)));
    }

    private void write(String key, PublishedChange change) {
        written.put(key, change);
        history.add(new Write(++revision, nowMillis(), key, change));
    }

    /** Loses the writes of the last while, and comes back after a time. */
    void returnFromCopy(long copyAgeMillis, long awayMillis) {
        if (away) {
            return;
        }
        away = true;
        long copiedMillis = nowMillis() - copyAgeMillis;
        scheduler.scheduleDirect(() -> comeBack(copiedMillis), awayMillis, TimeUnit.MILLISECONDS);
    }

    private void comeBack(long copiedMillis) {
        away = false;
        epoch++;
        history.removeIf(write -> write.atMillis() > copiedMillis);
        revision = history.isEmpty() ? 0 : history.get(history.size() - 1).revision();
        Map.copyOf(written)
                .keySet()
                .forEach(
                        key ->
                                scheduler.scheduleDirect(
                                        () -> writeAgain(key),
                                        random.nextInt(MAX_REWRITE_DELAY_MILLIS),
                                        TimeUnit.MILLISECONDS));
    }

    /** Writes the newest value of a key. A drill that has begun meanwhile has its own rewrites. */
    private void writeAgain(String key) {
        if (!away) {
            write(key, written.get(key));
        }
    }

    /** Returns when a version was acknowledged, or the largest time if it was not. */
    long acknowledgedMillis(long wanted) {
        return acknowledgedMillis.getOrDefault(wanted, Long.MAX_VALUE / 2);
    }

    /** Returns the newest version that was published. */
    long version() {
        return version;
    }

    int reads() {
        return reads;
    }

    /** Returns a connection of one router, which learns the epoch from its own responses only. */
    PublishedSource connect() {
        return new Connection();
    }

    private final class Connection implements PublishedSource {
        private long seenEpoch = PublishedPosition.UNKNOWN_EPOCH;

        @Override
        public Single<PublishedBatch> snapshot() {
            reads++;
            return delayed().flatMap(t -> away ? down() : Single.just(state()));
        }

        @Override
        public Single<PublishedBatch> changes(PublishedPosition after, long waitMillis) {
            reads++;
            return wait(after, waitMillis);
        }

        @Override
        public long epoch() {
            return seenEpoch;
        }

        private Single<Long> delayed() {
            return Single.timer(1 + random.nextInt(30), TimeUnit.MILLISECONDS, scheduler);
        }

        private Single<PublishedBatch> down() {
            return Single.error(new IllegalStateException("away"));
        }

        private PublishedBatch state() {
            seenEpoch = Math.max(seenEpoch, epoch);
            Map<String, PublishedChange> items = new TreeMap<>();
            history.forEach(write -> items.put(write.key(), write.change()));
            items.values().removeIf(change -> change instanceof UpstreamRemoved);
            return new PublishedBatch(
                    new PublishedPosition(epoch, revision), List.copyOf(items.values()));
        }

        /** Waits for changes after a revision, whatever the epoch that it is from. */
        private Single<PublishedBatch> wait(PublishedPosition after, long leftMillis) {
            return Single.timer(STEP_MILLIS, TimeUnit.MILLISECONDS, scheduler)
                    .flatMap(
                            t -> {
                                if (away) {
                                    return down();
                                }
                                if (after.revision() > revision) {
                                    seenEpoch = Math.max(seenEpoch, epoch);
                                    return Single.error(new HistoryLostException());
                                }
                                if (after.revision() == revision && leftMillis > 0) {
                                    return wait(after, leftMillis - STEP_MILLIS);
                                }
                                seenEpoch = Math.max(seenEpoch, epoch);
                                return Single.just(
                                        new PublishedBatch(
                                                new PublishedPosition(epoch, revision),
                                                changesAfter(after.revision())));
                            });
        }

        private List<PublishedChange> changesAfter(long after) {
            return history.stream()
                    .filter(write -> write.revision() > after)
                    .map(Write::change)
                    .toList();
        }
    }
}
