package org.bronzewheel.execution;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.bronzewheel.answer.StoredAnswer;
import org.bronzewheel.request.RequestId;

/** A request that this router holds, from its acceptance to its end. */
final class HeldRequest {
    private final RequestId id;
    private final TokenLog tokens = new TokenLog();
    private final List<Reader> readers = new ArrayList<>();
    private AttemptText current;
    private StoredAnswer answer;
    private Runnable cancellation = () -> {};

    HeldRequest(RequestId id) {
        this.id = id;
    }

    private record Reader(long offset, SingleEmitter<ReadResult> emitter) {}

    RequestId id() {
        return id;
    }

    /** Sets what ends the request early. */
    synchronized void onCancel(Runnable action) {
        cancellation = action;
    }

    /** Ends the request early; false where it has ended. */
    boolean cancel() {
        Runnable action;
        synchronized (this) {
            if (answer != null) {
                return false;
            }
            action = cancellation;
        }
        action.run();
        return true;
    }

    synchronized ReadResult read(long offset) {
        return new ReadResult(tokens.from(offset), answer);
    }

    /** Reads as soon as there is something new, at the latest after the wait. */
    Single<ReadResult> read(long offset, long waitMillis, Scheduler scheduler) {
        if (waitMillis <= 0) {
            return Single.fromCallable(() -> read(offset));
        }
        return Single.<ReadResult>create(emitter -> await(new Reader(offset, emitter)))
                .timeout(
                        waitMillis,
                        TimeUnit.MILLISECONDS,
                        scheduler,
                        Single.fromCallable(() -> read(offset)));
    }

    private void await(Reader reader) {
        ReadResult result;
        synchronized (this) {
            result = read(reader.offset());
            if (result.pieces().isEmpty() && !result.ended()) {
                readers.add(reader);
                reader.emitter().setDisposable(Disposable.fromRunnable(() -> forget(reader)));
                return;
            }
        }
        reader.emitter().onSuccess(result);
    }

    private synchronized void forget(Reader reader) {
        readers.remove(reader);
    }

    /** Begins the text of a further attempt, which must repeat what readers have seen. */
    synchronized void restartText(AttemptText next) {
        tokens.restart();
        current = next;
    }

    /**
     * Takes a piece of text that begins at a position in characters; a piece of an attempt before
     * the current one is left out.
     *
     * @return false where it contradicts what readers have seen
     */
    boolean append(AttemptText from, int position, long offset, long count, String piece) {
        List<Reader> woken;
        synchronized (this) {
            if (from != current) {
                return true;
            }
            if (!tokens.agrees(position, piece)) {
                return false;
            }
            int known = tokens.length() - position;
            if (known >= piece.length()) {
                return true;
            }
            tokens.append(offset, count, piece.substring(Math.max(0, known)));
            woken = takeReaders(false);
        }
        wake(woken);
        return true;
    }

    /** Ends the request; only the first end counts. */
    void end(StoredAnswer end) {
        List<Reader> woken;
        synchronized (this) {
            if (answer != null) {
                return;
            }
            answer = end;
            cancellation = () -> {};
            woken = takeReaders(true);
        }
        wake(woken);
    }

    private List<Reader> takeReaders(boolean all) {
        List<Reader> taken =
                readers.stream().filter(r -> all || r.offset() != ReadResult.NO_TOKENS).toList();
        readers.removeAll(taken);
        return taken;
    }

    private void wake(List<Reader> woken) {
        woken.forEach(reader -> reader.emitter().onSuccess(read(reader.offset())));
    }
}
