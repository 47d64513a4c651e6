package org.bronzewheel.published;

import com.google.common.flogger.FluentLogger;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.bronzewheel.catalog.CatalogState;
import org.bronzewheel.catalog.ClockReading;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.published.PublishedChange.CatalogPut;
import org.bronzewheel.published.PublishedChange.Unreadable;
import org.bronzewheel.published.PublishedChange.UpstreamPut;
import org.bronzewheel.published.PublishedChange.UpstreamRemoved;
import org.bronzewheel.service.Service;
import org.bronzewheel.upstreams.UpstreamEntry;
import org.bronzewheel.upstreams.UpstreamTable;

/**
 * Follows the state published by the platform: reads a snapshot, then long-polls for changes, and
 * reads a new snapshot if the change history is no longer available.
 *
 * <p>Each response confirms that the catalog was current when the request was sent. Long polls are
 * short because a connection may stall silently, and a pending poll confirms nothing until it
 * returns.
 */
public final class PublishedFollower implements Service {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long POLL_TIMEOUT_MILLIS = 1_300;
    private static final long MIN_BACKOFF_MILLIS = 60;

    /** Delay after a change, because changes come in bursts and a burst is read by one request. */
    private static final long BATCHING_DELAY_MILLIS = 250;

    private static final long MAX_BACKOFF_MILLIS = 700;

    private final PublishedSource source;
    private final CatalogState catalog;
    private final UpstreamTable upstreams;
    private final Loop loop;
    private final RandomGenerator random;
    private final PublishedRelay relay;
    private Disposable pending = Disposable.disposed();
    private long revision;
    private boolean needsSnapshot = true;
    private long backoffMillis = MIN_BACKOFF_MILLIS;
    private boolean disconnected;
    private boolean stopped;

    /**
     * Creates a follower that is not started.
     *
     * @param source the source of snapshots and changes
     * @param catalog receives catalogs and the times at which they were confirmed
     * @param upstreams receives the upstream entries
     * @param loop runs all tasks of the follower
     * @param random source of the retry jitter
     * @param relay serves the batches to other routers
     */
    public PublishedFollower(
            PublishedSource source,
            CatalogState catalog,
            UpstreamTable upstreams,
            Loop loop,
            RandomGenerator random,
            PublishedRelay relay) {
        this.source = source;
        this.catalog = catalog;
        this.upstreams = upstreams;
        this.loop = loop;
        this.random = random;
        this.relay = relay;
    }

    @Override
    public void start() {
        loop.execute(this::poll);
    }

    @Override
    public void stop() {
        stopped = true;
        pending.dispose();
    }

    private void poll() {
        if (stopped) {
            return;
        }
        ClockReading sentAt = loop.now();
        boolean snapshot = needsSnapshot;
        pending =
                (snapshot ? source.snapshot() : source.changes(revision, POLL_TIMEOUT_MILLIS))
                        .subscribe(
                                batch -> loop.execute(() -> applySafely(batch, snapshot, sentAt)),
                                error -> loop.execute(() -> handleFailure(error)));
    }

    /**
     * Applies a batch. An unexpected error must not stop the follower; a snapshot then replaces the
     * partly applied state.
     */
    private void applySafely(PublishedBatch batch, boolean snapshot, ClockReading sentAt) {
        try {
            apply(batch, snapshot, sentAt);
        } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log(
                    "failed to apply a platform response, reading a snapshot next");
            needsSnapshot = true;
            pending = loop.after(backoffMillis, this::poll);
        }
    }

    private void apply(PublishedBatch batch, boolean snapshot, ClockReading sentAt) {
        if (stopped) {
            return;
        }
        long nowMillis = loop.nowMillis();
        if (disconnected) {
            disconnected = false;
            logger.atInfo().log("platform regained");
        }
        upstreams.platformAnswered(nowMillis);
        ClockReading confirmedAt = sentAt.minusMillis(batch.ageMillis());
        backoffMillis = MIN_BACKOFF_MILLIS;
        // A lagging replica must not revert changes already read from another replica.
        if (batch.revision() < revision) {
            logger.atWarning().log(
                    "ignored platform revision %d, which is older than revision %d",
                    batch.revision(), revision);
            pending = loop.after(backoffMillis, this::poll);
            return;
        }
        revision = batch.revision();
        needsSnapshot = false;
        if (snapshot) {
            applySnapshot(batch, nowMillis);
        } else {
            batch.changes().forEach(change -> applyChange(change, nowMillis));
        }
        catalog.current().ifPresent(current -> catalog.confirm(current.version(), confirmedAt));
        relay.record(batch, snapshot, sentAt);
        if (snapshot || batch.changes().isEmpty()) {
            poll();
        } else {
            pending = loop.after(BATCHING_DELAY_MILLIS, this::poll);
        }
    }

    private void applySnapshot(PublishedBatch batch, long nowMillis) {
        List<UpstreamEntry> entries = new ArrayList<>();
        for (PublishedChange change : batch.changes()) {
            if (change instanceof UpstreamPut put) {
                entries.add(put.entry());
            } else {
                applyChange(change, nowMillis);
            }
        }
        upstreams.replaceAll(entries, nowMillis);
        logger.atInfo().log(
                "snapshot applied: revision=%d upstreams=%d", batch.revision(), entries.size());
    }

    private void applyChange(PublishedChange change, long nowMillis) {
        if (change instanceof CatalogPut put) {
            if (catalog.applyIfNewer(put.catalog())) {
                logger.atInfo().log("configuration applied: version=%d", put.catalog().version());
            }
        } else if (change instanceof UpstreamPut put) {
            upstreams.put(put.entry());
        } else if (change instanceof UpstreamRemoved removed) {
            upstreams.remove(removed.id(), nowMillis);
        } else if (change instanceof Unreadable unreadable) {
            logger.atWarning().log(
                    "cannot parse published entry: name=%s reason=%s",
                    unreadable.name(), unreadable.reason());
        }
    }

    private void handleFailure(Throwable error) {
        if (stopped) {
            return;
        }
        if (error instanceof HistoryLostException) {
            logger.atInfo().log(
                    "change history after revision %d is no longer available, reading a snapshot",
                    revision);
            needsSnapshot = true;
            poll();
            return;
        }
        if (!disconnected) {
            disconnected = true;
            logger.atWarning().log("platform lost: %s", error.getMessage());
        }
        upstreams.platformUnreachable();
        relay.markUnavailable();
        pending = loop.after(backoffMillis / 2 + random.nextLong(backoffMillis), this::poll);
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
    }
}
