package org.bronzewheel.published;

import com.google.common.flogger.FluentLogger;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.bronzewheel.catalog.Catalog;
import org.bronzewheel.catalog.CatalogProgress;
import org.bronzewheel.catalog.CatalogState;
import org.bronzewheel.catalog.ClockReading;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.published.PublishedChange.CatalogPut;
import org.bronzewheel.published.PublishedChange.DomainEvacuated;
import org.bronzewheel.published.PublishedChange.DomainReturned;
import org.bronzewheel.published.PublishedChange.Unreadable;
import org.bronzewheel.published.PublishedChange.UpstreamPut;
import org.bronzewheel.published.PublishedChange.UpstreamRemoved;
import org.bronzewheel.service.Service;
import org.bronzewheel.upstreams.UpstreamEntry;
import org.bronzewheel.upstreams.UpstreamTable;

/**
 * Follows the state published by the platform: reads a snapshot, then long-polls for changes, and
 * reads a new snapshot if the change history is no longer available or the platform has returned
 * from a copy.
 *
 * <p>Each response confirms that the catalog was current when the request was sent. Long polls are
 * short because a connection may stall silently, and a pending poll confirms nothing until it
 * returns. After a failure the platform is probed at short intervals, without waiting for earlier
 * probes, so that its return is noticed soon whether it rejects requests or ignores them.
 */
public final class PublishedFollower implements Service {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long POLL_TIMEOUT_MILLIS = 750;
    private static final long MIN_BACKOFF_MILLIS = 60;

    /** Delay after a change, because changes come in bursts and a burst is read by one request. */
    private static final long BATCHING_DELAY_MILLIS = 250;

    private static final long MAX_BACKOFF_MILLIS = 550;

    /**
     * The maximum delay of the snapshot after a return, so that routers do not read all at once.
     */
    private static final long RETURN_SPREAD_MILLIS = 250;

    /** The snapshots in sequence without a successful poll after which the next one waits. */
    private static final int MAX_PROMPT_SNAPSHOTS = 1;

    private static final long BRIEF_POLL_MILLIS = 50;
    private static final long PEER_WAIT_MILLIS = 400;

    /** The lateness of a timer that shows that the loop has stalled. */
    private static final long MAX_LATE_MILLIS = 100;

    /** The time for reading the sockets after a stall. */
    private static final long READ_MILLIS = 100;

    /** The number of stalls after which the wait for a peer ends at the latest. */
    private static final int MAX_STALLS = 5;

    private final PublishedSource source;
    private final CatalogState catalog;
    private final UpstreamTable upstreams;
    private final Loop loop;
    private final RandomGenerator random;
    private final PublishedRelay relay;
    private final ReturnSettlement settlement = new ReturnSettlement();
    private final UnreadableLog unreadableLog = new UnreadableLog();
    private Disposable pending = Disposable.disposed();
    private long round;
    private PublishedPosition position = PublishedPosition.START;
    private Optional<ClockReading> evidence = Optional.empty();
    private Disposable peerWait = Disposable.disposed();
    private long peerWaitUntilMillis;
    private int stallsInPeerWait;
    private boolean isPeerWaitOver;
    private boolean needsSnapshot = true;
    private long backoffMillis = MIN_BACKOFF_MILLIS;
    private int snapshotsInSequence;
    private boolean isBriefPollDue;
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
        awaitPeer(PEER_WAIT_MILLIS);
    }

    @Override
    public void stop() {
        stopped = true;
        pending.dispose();
        peerWait.dispose();
    }

    /**
     * Returns the position up to which the published state is applied.
     *
     * @return the position, {@link PublishedPosition#START} before the first snapshot
     */
    PublishedPosition position() {
        return position;
    }

    /**
     * Returns the newest epoch of the platform that this router has seen.
     *
     * @return the epoch, or {@link PublishedPosition#UNKNOWN_EPOCH}
     */
    public long epoch() {
        return settlement.epoch();
    }

    /**
     * Returns what is left of the settling time after a return that this router saw.
     *
     * @return the time in milliseconds, or 0
     */
    long ownSettlingMillis() {
        return settlement.ownLeftMillis(loop.nowMillis());
    }

    /**
     * Receives what a peer knows of the published catalog. A router that has just started confirms
     * nothing until a peer with a catalog is heard or a moment has passed, as it may have read a
     * copy.
     *
     * @param progress the progress of the peer
     */
    void peerReported(CatalogProgress progress) {
        settlement.peerReported(progress, loop.nowMillis());
        if (progress.version() > 0) {
            endPeerWait();
        }
    }

    private void awaitPeer(long waitMillis) {
        peerWaitUntilMillis = loop.nowMillis() + waitMillis;
        peerWait = loop.after(waitMillis, this::checkPeerWait);
    }

    /** A timer that fires late comes after a stall: a heartbeat may wait unread in its socket. */
    private void checkPeerWait() {
        long nowMillis = loop.nowMillis();
        boolean stalled = nowMillis > peerWaitUntilMillis + MAX_LATE_MILLIS;
        if (stalled && ++stallsInPeerWait < MAX_STALLS) {
            awaitPeer(READ_MILLIS);
        } else if (nowMillis < peerWaitUntilMillis) {
            awaitPeer(peerWaitUntilMillis - nowMillis);
        } else {
            endPeerWait();
        }
    }

    private void endPeerWait() {
        if (!isPeerWaitOver) {
            isPeerWaitOver = true;
            confirm();
        }
    }

    private void poll() {
        if (stopped) {
            return;
        }
        ClockReading sentAt = loop.now();
        boolean snapshot = needsSnapshot;
        boolean probe = disconnected && !snapshot;
        long sentInRound = round;
        Disposable unused =
                (snapshot ? source.snapshot() : source.changes(position, pollTimeoutMillis()))
                        .subscribe(
                                batch ->
                                        executeInRound(
                                                sentInRound,
                                                () -> applySafely(batch, snapshot, sentAt)),
                                error ->
                                        executeInRound(
                                                sentInRound,
                                                () -> handleFailure(error, probe, sentAt)));
        if (probe) {
            // A probe may never be answered, so the next one does not wait for its failure.
            retryLater(() -> probeAgain(sentAt));
        }
    }

    /** Probes the platform again, as it has not answered the previous probe for a while. */
    private void probeAgain(ClockReading previousSentAt) {
        upstreams.platformUnreachable(previousSentAt.steadyMillis());
        poll();
    }

    /** Runs a task unless the platform has answered another request of the same round. */
    private void executeInRound(long sentInRound, Runnable task) {
        loop.execute(
                () -> {
                    if (sentInRound == round) {
                        task.run();
                    }
                });
    }

    /**
     * Returns the time to wait for changes. It is brief while the platform is probed, as a return
     * would go unnoticed for that time. The poll that ends the settling time is cut short and the
     * one after it is brief, so that confirmations resume at once.
     */
    private long pollTimeoutMillis() {
        long settlingMillis = settlement.leftMillis(loop.nowMillis());
        boolean isCut = settlingMillis > 0 && settlingMillis < POLL_TIMEOUT_MILLIS;
        long timeoutMillis =
                isCut ? settlingMillis : isBriefPollDue ? BRIEF_POLL_MILLIS : POLL_TIMEOUT_MILLIS;
        isBriefPollDue = isCut;
        return disconnected ? Math.min(timeoutMillis, BRIEF_POLL_MILLIS) : timeoutMillis;
    }

    /**
     * Applies a batch. An unexpected error must not stop the follower; a snapshot then replaces the
     * partly applied state.
     */
    private void applySafely(PublishedBatch batch, boolean snapshot, ClockReading sentAt) {
        try {
            apply(batch, snapshot, sentAt);
        } catch (RuntimeException | Error e) {
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
        platformAnswered(nowMillis);
        observeEpoch(nowMillis);
        // A lagging replica must not revert changes already read from another replica.
        if (batch.position().epoch() < epoch() || batch.position().compareTo(position) < 0) {
            logger.atWarning().log(
                    "ignored platform position %s, which is older than position %s in epoch %d",
                    batch.position(), position, epoch());
            retryLater();
            return;
        }
        if (needsSnapshot && !snapshot) {
            readSnapshotNext();
            return;
        }
        needsSnapshot = false;
        if (snapshot) {
            snapshotsInSequence++;
            applySnapshot(batch, nowMillis);
        } else {
            snapshotsInSequence = 0;
            backoffMillis = MIN_BACKOFF_MILLIS;
            batch.changes().forEach(change -> applyChange(change, nowMillis));
        }
        position = batch.position();
        evidence = Optional.of(sentAt.minusMillis(batch.ageMillis()));
        confirm();
        relay.record(batch, snapshot, sentAt);
        if (snapshot || batch.changes().isEmpty()) {
            poll();
        } else {
            pending = loop.after(BATCHING_DELAY_MILLIS, this::poll);
        }
    }

    private void platformAnswered(long nowMillis) {
        round++;
        pending.dispose();
        if (disconnected) {
            disconnected = false;
            logger.atInfo().log("platform regained");
        }
        upstreams.platformAnswered(nowMillis);
    }

    /**
     * Begins a new epoch if a response has told one: the state read so far may be from its future.
     */
    private void observeEpoch(long nowMillis) {
        long newest = source.epoch();
        if (newest <= epoch()) {
            return;
        }
        needsSnapshot = true;
        if (settlement.observe(newest, nowMillis)) {
            logger.atWarning().log(
                    "platform returned from a copy: epoch=%d position=%s", newest, position);
            evidence = Optional.empty();
            upstreams.platformReturned(nowMillis);
        }
    }

    private void confirm() {
        if (!isPeerWaitOver || evidence.isEmpty()) {
            return;
        }
        Optional<Catalog> current = catalog.current();
        current.ifPresent(known -> settlement.actsOn(known.version()));
        ClockReading sentAt = evidence.get();
        if (settlement.confirms(sentAt)) {
            current.ifPresent(known -> catalog.confirm(known.version(), sentAt));
        }
    }

    private void applySnapshot(PublishedBatch batch, long nowMillis) {
        List<UpstreamEntry> entries = new ArrayList<>();
        Set<String> evacuated = new HashSet<>();
        for (PublishedChange change : batch.changes()) {
            if (change instanceof UpstreamPut put) {
                entries.add(put.entry());
                unreadableLog.readable(put.entry().id());
            } else if (change instanceof DomainEvacuated domain) {
                evacuated.add(domain.domain());
            } else {
                applyChange(change, nowMillis);
            }
        }
        upstreams.replaceAll(entries, evacuated, nowMillis);
        logger.atInfo().log(
                "snapshot applied: position=%s upstreams=%d evacuated=%s",
                batch.position(), entries.size(), evacuated);
        if (position.epoch() != PublishedPosition.UNKNOWN_EPOCH
                && batch.position().epoch() > position.epoch()) {
            logger.atWarning().log(
                    "state after the return: position=%s before=%s configuration=%d published=%d"
                            + " upstreams=%d awaited=%d closed=%d",
                    batch.position(),
                    position,
                    catalog.current().map(Catalog::version).orElse(0L),
                    settlement.publishedVersion(),
                    entries.size(),
                    upstreams.awaitingReturn(),
                    upstreams.closedByReturn());
        }
    }

    private void applyChange(PublishedChange change, long nowMillis) {
        if (change instanceof CatalogPut put) {
            settlement.published(put.catalog().version());
            if (catalog.applyIfNewer(put.catalog())) {
                logger.atInfo().log("configuration applied: version=%d", put.catalog().version());
            }
        } else if (change instanceof UpstreamPut put) {
            upstreams.put(put.entry(), nowMillis);
            unreadableLog.readable(put.entry().id());
        } else if (change instanceof UpstreamRemoved removed) {
            upstreams.remove(removed.id(), nowMillis);
        } else if (change instanceof DomainEvacuated evacuated) {
            upstreams.evacuate(evacuated.domain());
        } else if (change instanceof DomainReturned returned) {
            upstreams.domainReturned(returned.domain(), nowMillis);
        } else if (change instanceof Unreadable unreadable) {
            unreadableLog.report(unreadable);
        }
    }

    private void handleFailure(Throwable error, boolean probe, ClockReading sentAt) {
        if (stopped) {
            return;
        }
        long nowMillis = loop.nowMillis();
        observeEpoch(nowMillis);
        if (error instanceof HistoryLostException) {
            logger.atInfo().log(
                    "change history after position %s is no longer available, reading a snapshot",
                    position);
            platformAnswered(nowMillis);
            readSnapshotNext();
            return;
        }
        if (error instanceof ReaderLostException && !disconnected) {
            poll();
            return;
        }
        if (!(error instanceof ReaderLostException)) {
            markUnreachable(error, sentAt);
        }
        if (!probe) {
            retryLater();
        }
    }

    private void markUnreachable(Throwable error, ClockReading sentAt) {
        if (!disconnected) {
            disconnected = true;
            logger.atWarning().log("platform lost: %s", error.getMessage());
        }
        upstreams.platformUnreachable(sentAt.steadyMillis());
        relay.markUnavailable();
    }

    /** Reads a snapshot soon, or after a backoff if no poll has succeeded since the last ones. */
    private void readSnapshotNext() {
        needsSnapshot = true;
        upstreams.snapshotDue();
        if (snapshotsInSequence > MAX_PROMPT_SNAPSHOTS) {
            retryLater();
        } else if (epoch() == position.epoch()) {
            poll();
        } else {
            pending = loop.after(random.nextLong(RETURN_SPREAD_MILLIS), this::poll);
        }
    }

    private void retryLater() {
        retryLater(this::poll);
    }

    private void retryLater(Runnable retry) {
        long delayMillis = backoffMillis * 3 / 4 + random.nextLong(backoffMillis / 2);
        pending = loop.after(delayMillis, retry);
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
    }
}
