package org.bronzewheel.published;

import com.google.common.flogger.FluentLogger;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import org.bronzewheel.catalog.Catalog;
import org.bronzewheel.catalog.CatalogProgress;
import org.bronzewheel.catalog.CatalogState;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.peering.ProgressExchange;
import org.bronzewheel.transport.Channel;
import org.bronzewheel.transport.PeerTransport;
import org.bronzewheel.wire.CatalogAnswer;
import org.bronzewheel.wire.CatalogQuestion;

/**
 * Fetches the catalog from a peer that acts on a newer one than this router, and gives peers the
 * one of this router.
 *
 * <p>A platform that returns from a copy may publish an older catalog than the routers act on. A
 * router that starts meanwhile reads only that one. A catalog from a peer is never a confirmation.
 */
public final class CatalogExchange implements ProgressExchange {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /** The time that the reads of a running router have to catch up before a peer is asked. */
    private static final long CATCH_UP_MILLIS = 500;

    private static final long CALL_TIMEOUT_MILLIS = 1_000;

    private final PeerTransport transport;
    private final CatalogState catalog;
    private final PublishedFollower follower;
    private final Loop loop;
    private Disposable scheduled = Disposable.disposed();
    private String newestPeer = "";
    private long newestVersion;

    /**
     * Creates an exchange.
     *
     * @param transport carries the calls between routers
     * @param catalog the catalog of this router
     * @param follower knows the epoch, and is told of returns that peers saw
     * @param loop runs all tasks of the exchange
     */
    public CatalogExchange(
            PeerTransport transport, CatalogState catalog, PublishedFollower follower, Loop loop) {
        this.transport = transport;
        this.catalog = catalog;
        this.follower = follower;
        this.loop = loop;
        transport.serve(
                Channel.CATALOG,
                (from, bytes) ->
                        Single.create(
                                emitter -> loop.execute(() -> emitter.onSuccess(encodeOwn()))));
    }

    @Override
    public CatalogProgress own() {
        return new CatalogProgress(follower.epoch(), version(), follower.ownSettlingMillis());
    }

    @Override
    public void received(String vmId, CatalogProgress progress) {
        follower.peerReported(progress);
        if (progress.version() <= version()) {
            return;
        }
        if (progress.version() >= newestVersion || newestVersion <= version()) {
            newestPeer = vmId;
            newestVersion = progress.version();
        }
        if (scheduled.isDisposed()) {
            boolean hasStarted = catalog.ageMillis(loop.now()) < Long.MAX_VALUE;
            scheduled = loop.after(hasStarted ? CATCH_UP_MILLIS : 0, this::fetch);
        }
    }

    private void fetch() {
        scheduled.dispose();
        if (newestVersion <= version()) {
            return;
        }
        String peer = newestPeer;
        newestVersion = 0;
        scheduled =
                transport
                        .call(
                                peer,
                                Channel.CATALOG,
                                CatalogQuestion.getDefaultInstance().toByteArray(),
                                CALL_TIMEOUT_MILLIS)
                        .map(CatalogAnswer::parseFrom)
                        .subscribe(
                                answer -> loop.execute(() -> apply(peer, answer)),
                                error ->
                                        logger.atInfo().log(
                                                "peer %s did not give its configuration: %s",
                                                peer, error.getMessage()));
    }

    private void apply(String peer, CatalogAnswer answer) {
        if (!answer.hasCatalog()) {
            return;
        }
        Catalog newer = PublishedCodec.decode(answer.getCatalog());
        if (catalog.applyIfNewer(newer)) {
            logger.atInfo().log(
                    "configuration applied: version=%d from peer %s", newer.version(), peer);
        }
    }

    private byte[] encodeOwn() {
        CatalogAnswer.Builder answer = CatalogAnswer.newBuilder();
        catalog.current().map(PublishedCodec::encode).ifPresent(answer::setCatalog);
        return answer.build().toByteArray();
    }

    private long version() {
        return catalog.current().map(Catalog::version).orElse(0L);
    }
}
