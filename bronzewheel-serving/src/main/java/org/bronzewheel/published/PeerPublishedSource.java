package org.bronzewheel.published;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.reactivex.rxjava3.core.Single;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.transport.Channel;
import org.bronzewheel.transport.PeerTransport;
import org.bronzewheel.wire.PublishedAnswer;
import org.bronzewheel.wire.PublishedItem;
import org.bronzewheel.wire.PublishedQuestion;

/**
 * A source for large fleets that reads changes through another router.
 *
 * <p>Snapshots always come from the platform, and so do changes for a while after a call to the
 * other router has failed.
 */
public final class PeerPublishedSource implements PublishedSource {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long PEER_WAIT_MILLIS = 800;
    private static final long PEER_CALL_MARGIN_MILLIS = 500;
    private static final long DIRECT_READ_MILLIS = 4_000;

    private final PublishedSource platform;
    private final PeerTransport transport;
    private final Supplier<Optional<String>> reader;
    private final Loop loop;
    private long readDirectlyUntilMillis = Long.MIN_VALUE;
    private volatile long readerEpoch = PublishedPosition.UNKNOWN_EPOCH;

    /**
     * Creates a source.
     *
     * @param platform the direct source
     * @param transport carries calls to other routers
     * @param reader supplies the VM to read through, or empty if this router reads the platform
     *     itself
     * @param loop provides the clock
     */
    public PeerPublishedSource(
            PublishedSource platform,
            PeerTransport transport,
            Supplier<Optional<String>> reader,
            Loop loop) {
        this.platform = platform;
        this.transport = transport;
        this.reader = reader;
        this.loop = loop;
    }

    @Override
    public Single<PublishedBatch> snapshot() {
        return platform.snapshot();
    }

    @Override
    public long epoch() {
        return Math.max(platform.epoch(), readerEpoch);
    }

    @Override
    public Single<PublishedBatch> changes(PublishedPosition after, long waitMillis) {
        Optional<String> peer =
                loop.nowMillis() < readDirectlyUntilMillis ? Optional.empty() : reader.get();
        if (peer.isEmpty()) {
            return platform.changes(after, waitMillis);
        }
        PublishedQuestion.Builder request =
                PublishedQuestion.newBuilder()
                        .setAfterRevision(after.revision())
                        .setWaitMillis(PEER_WAIT_MILLIS);
        if (after.epoch() != PublishedPosition.UNKNOWN_EPOCH) {
            request.setAfterEpoch(after.epoch());
        }
        return transport
                .call(
                        peer.get(),
                        Channel.PUBLISHED,
                        request.build().toByteArray(),
                        PEER_WAIT_MILLIS + PEER_CALL_MARGIN_MILLIS)
                .map(this::decode)
                .onErrorResumeNext(error -> Single.error(handlePeerFailure(peer.get(), error)));
    }

    /** Returns the error for the caller: the platform may be available where the peer is not. */
    private Throwable handlePeerFailure(String peer, Throwable error) {
        if (error instanceof HistoryLostException) {
            return error;
        }
        logger.atInfo().log(
                "reading the platform through %s failed, reading it directly: %s",
                peer, error.getMessage());
        loop.execute(() -> readDirectlyUntilMillis = loop.nowMillis() + DIRECT_READ_MILLIS);
        return new ReaderLostException(peer, error);
    }

    private PublishedBatch decode(byte[] bytes) throws InvalidProtocolBufferException {
        PublishedAnswer answer = PublishedAnswer.parseFrom(bytes);
        long epoch = answer.hasEpoch() ? answer.getEpoch() : PublishedPosition.UNKNOWN_EPOCH;
        readerEpoch = Math.max(readerEpoch, epoch);
        return switch (answer.getOutcome()) {
            case CHANGES ->
                    new PublishedBatch(
                            new PublishedPosition(epoch, answer.getRevision()),
                            changes(answer.getChangesList()),
                            true,
                            answer.getAgeMillis());
            case HISTORY_LOST -> throw new HistoryLostException();
            case NO_READER, UNRECOGNIZED ->
                    throw new BronzewheelException(
                            ErrorCode.PLATFORM_UNAVAILABLE,
                            "the peer does not read the platform at present");
        };
    }

    private static List<PublishedChange> changes(List<PublishedItem> items) {
        return items.stream().map(PublishedCodec::decode).flatMap(Optional::stream).toList();
    }
}
