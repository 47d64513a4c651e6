package org.bronzewheel.permits;

import com.google.common.flogger.FluentLogger;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.Iterator;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import org.bronzewheel.loop.Loop;

/** The books of the limits that this router keeps. Owned by the serving loop. */
final class OwnedPermits {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long REPORT_MILLIS = 1_000;
    private static final long IDLE_MILLIS = 60_000;

    private final PermitKind kind;
    private final Function<String, OptionalDouble> limits;
    private final Loop loop;
    private final Map<String, Kept> kept = new TreeMap<>();

    /** A book with its timer. */
    private static final class Kept {
        private final PermitQueue book;
        private long askedMillis;
        private Disposable timer = Disposable.disposed();

        Kept(PermitQueue book) {
            this.book = book;
        }
    }

    /**
     * Creates a keeper without books.
     *
     * @param limits the requests a second that are taken from all routers, by name
     */
    OwnedPermits(PermitKind kind, Function<String, OptionalDouble> limits, Loop loop) {
        this.kind = kind;
        this.limits = limits;
        this.loop = loop;
    }

    /**
     * Decides on a request.
     *
     * @param part the part of the limit that this router may grant
     * @param reply takes the decision, possibly before this method returns
     */
    void ask(
            String name,
            int rank,
            long patienceMillis,
            double part,
            Consumer<PermitDecision> reply) {
        OptionalDouble limit = limits.apply(name);
        if (limit.isEmpty()) {
            giveUp(name);
            reply.accept(PermitDecision.GRANTED);
            return;
        }
        long nowMillis = loop.nowMillis();
        Kept found =
                kept.computeIfAbsent(
                        name,
                        id -> new Kept(new PermitQueue(limit.getAsDouble(), part, nowMillis)));
        found.askedMillis = nowMillis;
        found.book.setLimit(limit.getAsDouble(), part, nowMillis);
        found.book.ask(rank, patienceMillis, nowMillis, reply);
        schedule(found);
    }

    private void schedule(Kept found) {
        found.timer.dispose();
        if (found.book.hasWaiting()) {
            found.timer =
                    loop.after(found.book.nextEndMillis(loop.nowMillis()), () -> serve(found));
        }
    }

    private void serve(Kept found) {
        found.book.serve(loop.nowMillis());
        schedule(found);
    }

    /** Closes a book whose limit this router does not keep any more. */
    void giveUp(String name) {
        Kept closed = kept.remove(name);
        if (closed != null) {
            closed.timer.dispose();
            closed.book.close(loop.nowMillis());
        }
    }

    /** Starts writing what was decided, and forgets the books that nobody asks any more. */
    Disposable start() {
        return loop.every(REPORT_MILLIS, this::report);
    }

    private void report() {
        long nowMillis = loop.nowMillis();
        for (Iterator<Map.Entry<String, Kept>> it = kept.entrySet().iterator(); it.hasNext(); ) {
            Map.Entry<String, Kept> entry = it.next();
            PermitQueue book = entry.getValue().book;
            if (book.hasNews()) {
                logger.atInfo().log(
                        "permits: kind=%s name=%s %s", kind, entry.getKey(), book.takeReport());
            }
            if (!book.hasWaiting() && nowMillis - entry.getValue().askedMillis > IDLE_MILLIS) {
                it.remove();
            }
        }
    }
}
