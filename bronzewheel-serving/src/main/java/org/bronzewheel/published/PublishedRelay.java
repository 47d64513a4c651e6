package org.bronzewheel.published;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.bronzewheel.catalog.ClockReading;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.transport.Channel;
import org.bronzewheel.transport.PeerTransport;
import org.bronzewheel.wire.PublishedAnswer;
import org.bronzewheel.wire.PublishedAnswer.Outcome;
import org.bronzewheel.wire.PublishedQuestion;

/**
 * Relays the changes that this router reads from the platform to routers that do not read it.
 *
 * <p>Only data read from the platform directly is relayed, together with its age. Otherwise, a
 * chain or cycle of routers confirming each other would keep a revoked key valid.
 */
public final class PublishedRelay {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAX_BATCHES = 100;

    private final Loop loop;
    private final Deque<LoggedBatch> log = new ArrayDeque<>();
    private final List<PendingRequest> pendingRequests = new ArrayList<>();
    private boolean available;
    private PublishedPosition position = PublishedPosition.START;
    private PublishedPosition oldest = PublishedPosition.START;
    private ClockReading confirmedAt = new ClockReading(0, 0);

    private record LoggedBatch(PublishedPosition position, List<PublishedChange> changes) {}

    private record PendingRequest(PublishedPosition after, SingleEmitter<byte[]> emitter) {}

    /**
     * Creates a relay; it refuses requests until this router has read the platform.
     *
     * @param transport delivers the requests of other routers
     * @param loop runs all tasks of the relay
     */
    public PublishedRelay(PeerTransport transport, Loop loop) {
        this.loop = loop;
        transport.serve(
                Channel.PUBLISHED,
                (from, bytes) ->
                        Single.create(emitter -> loop.execute(() -> serve(bytes, emitter))));
    }

    /**
     * Records a batch that this router has received.
     *
     * @param batch the batch
     * @param snapshot whether it is a snapshot
     * @param sentAt when the request for it was sent
     */
    void record(PublishedBatch batch, boolean snapshot, ClockReading sentAt) {
        if (batch.relayed()) {
            markUnavailable();
            return;
        }
        if (snapshot) {
            log.clear();
            oldest = batch.position();
        } else if (!batch.changes().isEmpty()) {
            log.add(new LoggedBatch(batch.position(), batch.changes()));
        }
        if (log.size() > MAX_BATCHES) {
            oldest = log.poll().position();
        }
        available = true;
        position = batch.position();
        confirmedAt = sentAt;
        answerPending();
    }

    /** Marks the relay as unavailable because this router currently does not read the platform. */
    void markUnavailable() {
        available = false;
        answerPending();
    }

    private void serve(byte[] bytes, SingleEmitter<byte[]> emitter) {
        PublishedQuestion request;
        try {
            request = PublishedQuestion.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            logger.atWarning().withCause(e).log(
                    "cannot parse the request of a peer for published changes");
            emitter.tryOnError(e);
            return;
        }
        PublishedPosition after =
                new PublishedPosition(
                        request.hasAfterEpoch()
                                ? request.getAfterEpoch()
                                : PublishedPosition.UNKNOWN_EPOCH,
                        request.getAfterRevision());
        PendingRequest pending = new PendingRequest(after, emitter);
        if (!available || after.compareTo(position) < 0) {
            answer(pending);
            return;
        }
        pendingRequests.add(pending);
        loop.after(
                request.getWaitMillis(),
                () -> {
                    if (pendingRequests.remove(pending)) {
                        answer(pending);
                    }
                });
    }

    private void answerPending() {
        List<PendingRequest> all = List.copyOf(pendingRequests);
        pendingRequests.clear();
        all.forEach(this::answer);
    }

    private void answer(PendingRequest pending) {
        PublishedAnswer.Builder answer = PublishedAnswer.newBuilder();
        if (position.epoch() != PublishedPosition.UNKNOWN_EPOCH) {
            answer.setEpoch(position.epoch());
        }
        // A router that is ahead of this one must not be sent older state.
        if (!available || pending.after().compareTo(position) > 0) {
            answer.setOutcome(Outcome.NO_READER);
        } else if (pending.after().compareTo(oldest) < 0) {
            // Includes positions of earlier epochs, as a snapshot begins each epoch.
            answer.setOutcome(Outcome.HISTORY_LOST);
        } else {
            answer.setRevision(position.revision())
                    .setAgeMillis(loop.now().millisSince(confirmedAt));
            log.stream()
                    .filter(logged -> logged.position().compareTo(pending.after()) > 0)
                    .flatMap(logged -> logged.changes().stream())
                    .map(PublishedCodec::encode)
                    .forEach(answer::addChanges);
        }
        pending.emitter().onSuccess(answer.build().toByteArray());
    }
}
