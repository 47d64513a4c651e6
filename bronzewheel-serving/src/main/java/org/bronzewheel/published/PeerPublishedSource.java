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
 * The reading side of the platform in a large fleet: changes come from a router that reads the
 * platform, snapshots and what that router cannot tell from the platform itself.
 */
public final class PeerPublishedSource implements PublishedSource {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long PEER_WAIT_MILLIS = 800;
    private static final long PEER_ANSWER_MILLIS = 500;
    private static final long DIRECT_MILLIS = 4_000;

    private final PublishedSource platform;
    private final PeerTransport transport;
    private final Supplier<Optional<String>> reader;
    private final Loop loop;
    private long directUntilMillis = Long.MIN_VALUE;

    /**
     * Creates a source.
     *
     * @param platform the platform
     * @param transport the way to the other routers
     * @param reader the VM that reads for this one, or empty where this one is to read itself
     * @param loop tells the time
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
    public Single<PublishedBatch> changes(long afterRevision, long waitMillis) {
        Optional<String> peer =
                loop.nowMillis() < directUntilMillis ? Optional.empty() : reader.get();
        if (peer.isEmpty()) {
            return platform.changes(afterRevision, waitMillis);
        }
        byte[] question =
                PublishedQuestion.newBuilder()
                        .setAfterRevision(afterRevision)
                        .setWaitMillis(PEER_WAIT_MILLIS)
                        .build()
                        .toByteArray();
        return transport
                .call(
                        peer.get(),
                        Channel.PUBLISHED,
                        question,
                        PEER_WAIT_MILLIS + PEER_ANSWER_MILLIS)
                .map(PeerPublishedSource::decode)
                .doOnError(error -> peerFailed(peer.get(), error));
    }

    private void peerFailed(String peer, Throwable error) {
        if (!(error instanceof HistoryLostException)) {
            logger.atInfo().log("reader %s failed: %s", peer, error.getMessage());
            loop.execute(() -> directUntilMillis = loop.nowMillis() + DIRECT_MILLIS);
        }
    }

    private static PublishedBatch decode(byte[] bytes) throws InvalidProtocolBufferException {
        PublishedAnswer answer = PublishedAnswer.parseFrom(bytes);
        return switch (answer.getOutcome()) {
            case CHANGES ->
                    new PublishedBatch(
                            answer.getRevision(),
                            changes(answer.getChangesList()),
                            true,
                            answer.getAgeMillis());
            case HISTORY_LOST -> throw new HistoryLostException();
            case NO_READER, UNRECOGNIZED ->
                    throw new BronzewheelException(
                            ErrorCode.PLATFORM_UNAVAILABLE, "it does not hear the platform");
        };
    }

    private static List<PublishedChange> changes(List<PublishedItem> items) {
        return items.stream().map(PublishedCodec::decode).flatMap(Optional::stream).toList();
    }
}
