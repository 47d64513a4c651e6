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
 * A follower of the platform: a snapshot, then waits for changes, and a snapshot again where the
 * history was lost.
 *
 * <p>Each answer is evidence that the catalog is the newest, as of the time at which its question
 * was sent. Waits are short, for a connection may fall silent and a wait that hears nothing proves
 * nothing before it ends.
 */
public final class PublishedFollower implements Service {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long WAIT_MILLIS = 1_300;
    private static final long FIRST_PAUSE_MILLIS = 60;

    /** Changes come in groups; those of a group are read with one question. */
    private static final long GROUP_MILLIS = 250;

    private static final long LONGEST_PAUSE_MILLIS = 700;

    private final PublishedSource source;
    private final CatalogState catalog;
    private final UpstreamTable upstreams;
    private final Loop loop;
    private final RandomGenerator random;
    private final PublishedRelay relay;
    private Disposable step = Disposable.disposed();
    private long revision;
    private boolean needsSnapshot = true;
    private long pauseMillis = FIRST_PAUSE_MILLIS;
    private boolean lost;
    private boolean stopped;

    /**
     * Creates a follower that is not started.
     *
     * @param source the platform
     * @param catalog takes catalogs and the evidence of their age
     * @param upstreams takes the entries of upstreams
     * @param loop runs the work
     * @param random draws jitter
     * @param relay passes on what is read
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
        loop.execute(this::ask);
    }

    @Override
    public void stop() {
        stopped = true;
        step.dispose();
    }

    private void ask() {
        if (stopped) {
            return;
        }
        ClockReading sentAt = loop.now();
        boolean snapshot = needsSnapshot;
        step =
                (snapshot ? source.snapshot() : source.changes(revision, WAIT_MILLIS))
                        .subscribe(
                                batch -> loop.execute(() -> takeSafely(batch, snapshot, sentAt)),
                                error -> loop.execute(() -> failed(error)));
    }

    /** An error of this router must not end the following; what was half taken is read again. */
    private void takeSafely(PublishedBatch batch, boolean snapshot, ClockReading sentAt) {
        try {
            take(batch, snapshot, sentAt);
        } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("an answer of the platform was not taken");
            needsSnapshot = true;
            step = loop.after(pauseMillis, this::ask);
        }
    }

    private void take(PublishedBatch batch, boolean snapshot, ClockReading sentAt) {
        if (stopped) {
            return;
        }
        long nowMillis = loop.nowMillis();
        if (lost) {
            lost = false;
            logger.atInfo().log("platform regained");
        }
        upstreams.platformAnswered(nowMillis);
        ClockReading toldAt = sentAt.minusMillis(batch.ageMillis());
        pauseMillis = FIRST_PAUSE_MILLIS;
        // A replica that lags must not take back what another one has told.
        if (batch.revision() < revision) {
            logger.atWarning().log(
                    "platform answered with revision %d after %d", batch.revision(), revision);
            step = loop.after(pauseMillis, this::ask);
            return;
        }
        revision = batch.revision();
        needsSnapshot = false;
        if (snapshot) {
            takeSnapshot(batch, nowMillis);
        } else {
            batch.changes().forEach(change -> takeChange(change, nowMillis));
        }
        catalog.current().ifPresent(current -> catalog.confirm(current.version(), toldAt));
        relay.took(batch, snapshot, sentAt);
        if (snapshot || batch.changes().isEmpty()) {
            ask();
        } else {
            step = loop.after(GROUP_MILLIS, this::ask);
        }
    }

    private void takeSnapshot(PublishedBatch batch, long nowMillis) {
        List<UpstreamEntry> entries = new ArrayList<>();
        for (PublishedChange change : batch.changes()) {
            if (change instanceof UpstreamPut put) {
                entries.add(put.entry());
            } else {
                takeChange(change, nowMillis);
            }
        }
        upstreams.replaceAll(entries, nowMillis);
        logger.atInfo().log(
                "snapshot taken: revision=%d upstreams=%d", batch.revision(), entries.size());
    }

    private void takeChange(PublishedChange change, long nowMillis) {
        if (change instanceof CatalogPut put) {
            if (catalog.applyIfNewer(put.catalog())) {
                logger.atInfo().log("configuration in force: version=%d", put.catalog().version());
            }
        } else if (change instanceof UpstreamPut put) {
            upstreams.put(put.entry());
        } else if (change instanceof UpstreamRemoved removed) {
            upstreams.remove(removed.id(), nowMillis);
        } else if (change instanceof Unreadable unreadable) {
            logger.atWarning().log(
                    "unreadable entry: name=%s reason=%s", unreadable.name(), unreadable.reason());
        }
    }

    private void failed(Throwable error) {
        if (stopped) {
            return;
        }
        if (error instanceof HistoryLostException) {
            logger.atInfo().log("history lost after revision %d", revision);
            needsSnapshot = true;
            ask();
            return;
        }
        if (!lost) {
            lost = true;
            logger.atWarning().log("platform lost: %s", error.getMessage());
        }
        upstreams.platformUnreachable();
        relay.lost();
        step = loop.after(pauseMillis / 2 + random.nextLong(pauseMillis), this::ask);
        pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, pauseMillis * 2);
    }
}
