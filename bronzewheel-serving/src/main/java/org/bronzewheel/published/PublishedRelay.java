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
 * The passing on of what this router reads from the platform to routers that do not read it.
 *
 * <p>Only what the platform itself told is passed on, with the age of that word: a chain or a
 * circle of routers that confirm each other would keep a revoked key alive.
 */
public final class PublishedRelay {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MOST_BATCHES = 100;

    private final Loop loop;
    private final Deque<Told> log = new ArrayDeque<>();
    private final List<Waiting> waiting = new ArrayList<>();
    private boolean reading;
    private long revision;
    private long oldestRevision;
    private ClockReading askedAt = new ClockReading(0, 0);

    private record Told(long revision, List<PublishedChange> changes) {}

    private record Waiting(long afterRevision, SingleEmitter<byte[]> emitter) {}

    /**
     * Creates a relay that answers no router before this one has read the platform.
     *
     * @param transport brings the questions
     * @param loop runs the work
     */
    public PublishedRelay(PeerTransport transport, Loop loop) {
        this.loop = loop;
        transport.serve(
                Channel.PUBLISHED,
                (from, bytes) ->
                        Single.create(emitter -> loop.execute(() -> serve(bytes, emitter))));
    }

    /**
     * Takes an answer to this router.
     *
     * @param batch the answer
     * @param snapshot whether it tells everything that is published
     * @param sentAt when the question was sent
     */
    void took(PublishedBatch batch, boolean snapshot, ClockReading sentAt) {
        if (batch.relayed()) {
            lost();
            return;
        }
        if (snapshot) {
            log.clear();
            oldestRevision = batch.revision();
        } else if (!batch.changes().isEmpty()) {
            log.add(new Told(batch.revision(), batch.changes()));
        }
        if (log.size() > MOST_BATCHES) {
            oldestRevision = log.poll().revision();
        }
        reading = true;
        revision = batch.revision();
        askedAt = sentAt;
        if (snapshot || !batch.changes().isEmpty()) {
            answerAll();
        }
    }

    /** Books that the platform does not answer this router, or that it no longer asks. */
    void lost() {
        reading = false;
        answerAll();
    }

    private void serve(byte[] bytes, SingleEmitter<byte[]> emitter) {
        PublishedQuestion question;
        try {
            question = PublishedQuestion.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            logger.atWarning().withCause(e).log("a peer sent an unreadable question");
            emitter.tryOnError(e);
            return;
        }
        Waiting next = new Waiting(question.getAfterRevision(), emitter);
        if (!reading || question.getAfterRevision() < revision) {
            answer(next);
            return;
        }
        waiting.add(next);
        loop.after(
                question.getWaitMillis(),
                () -> {
                    if (waiting.remove(next)) {
                        answer(next);
                    }
                });
    }

    private void answerAll() {
        List<Waiting> all = List.copyOf(waiting);
        waiting.clear();
        all.forEach(this::answer);
    }

    private void answer(Waiting next) {
        PublishedAnswer.Builder answer = PublishedAnswer.newBuilder();
        // One that knows more than this router gets nothing from it.
        if (!reading || next.afterRevision() > revision) {
            answer.setOutcome(Outcome.NO_READER);
        } else if (next.afterRevision() < oldestRevision) {
            answer.setOutcome(Outcome.HISTORY_LOST);
        } else {
            answer.setRevision(revision).setAgeMillis(loop.now().millisSince(askedAt));
            log.stream()
                    .filter(told -> told.revision() > next.afterRevision())
                    .flatMap(told -> told.changes().stream())
                    .map(PublishedCodec::encode)
                    .forEach(answer::addChanges);
        }
        next.emitter().onSuccess(answer.build().toByteArray());
    }
}
