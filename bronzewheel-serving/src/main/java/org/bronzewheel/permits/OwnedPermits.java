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

/** The permit queues of the limits that this router owns. Confined to the serving loop. */
final class OwnedPermits {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long REPORT_MILLIS = 1_000;
    private static final long IDLE_MILLIS = 60_000;

    private final PermitKind kind;
    private final Function<String, OptionalDouble> limitByName;
    private final Loop loop;
    private final Map<String, Entry> entries = new TreeMap<>();

    /** A queue with its timer. */
    private static final class Entry {
        private final String name;
        private final PermitQueue queue;
        private double fraction;
        private long askedMillis;
        private Disposable timer = Disposable.disposed();

        Entry(String name, PermitQueue queue) {
            this.name = name;
            this.queue = queue;
        }
    }

    /**
     * Creates an instance without queues.
     *
     * @param limitByName returns the limit of a name, in requests per second from all routers
     */
    OwnedPermits(PermitKind kind, Function<String, OptionalDouble> limitByName, Loop loop) {
        this.kind = kind;
        this.limitByName = limitByName;
        this.loop = loop;
    }

    /**
     * Decides on a request.
     *
     * @param fraction the fraction of the limit that this router may grant
     * @param reply receives the decision, possibly before this method returns
     */
    void ask(
            String name,
            int rank,
            long timeoutMillis,
            double fraction,
            Consumer<PermitDecision> reply) {
        OptionalDouble limit = limitByName.apply(name);
        if (limit.isEmpty()) {
            endLimit(name);
            reply.accept(PermitDecision.GRANTED);
            return;
        }
        long nowMillis = loop.nowMillis();
        Entry entry =
                entries.computeIfAbsent(
                        name,
                        id ->
                                new Entry(
                                        id,
                                        new PermitQueue(limit.getAsDouble(), fraction, nowMillis)));
        entry.askedMillis = nowMillis;
        entry.fraction = fraction;
        entry.queue.setLimit(limit.getAsDouble(), fraction, nowMillis);
        entry.queue.ask(rank, timeoutMillis, nowMillis, reply);
        schedule(entry);
    }

    private void schedule(Entry entry) {
        entry.timer.dispose();
        if (entry.queue.hasWaiting()) {
            entry.timer =
                    loop.after(entry.queue.nextEventMillis(loop.nowMillis()), () -> serve(entry));
        }
    }

    private void serve(Entry entry) {
        long nowMillis = loop.nowMillis();
        OptionalDouble limit = limitByName.apply(entry.name);
        if (limit.isPresent()) {
            entry.queue.setLimit(limit.getAsDouble(), entry.fraction, nowMillis);
        } else {
            entry.queue.endLimit(nowMillis);
        }
        entry.queue.serve(nowMillis);
        schedule(entry);
    }

    /** Lets the requests that wait for a limit that has ended pass, and forgets it afterwards. */
    private void endLimit(String name) {
        Entry ended = entries.get(name);
        if (ended != null && ended.queue.hasWaiting()) {
            serve(ended);
        } else if (ended != null) {
            release(name);
        }
    }

    /** Closes the queue of a limit that this router no longer owns. */
    void release(String name) {
        Entry closed = entries.remove(name);
        if (closed != null) {
            closed.timer.dispose();
            closed.queue.close(loop.nowMillis());
        }
    }

    /** Starts logging decisions and removing idle queues. */
    Disposable start() {
        return loop.every(REPORT_MILLIS, this::report);
    }

    private void report() {
        long nowMillis = loop.nowMillis();
        for (Iterator<Map.Entry<String, Entry>> it = entries.entrySet().iterator();
                it.hasNext(); ) {
            Map.Entry<String, Entry> entry = it.next();
            PermitQueue queue = entry.getValue().queue;
            if (queue.hasDecisions()) {
                logger.atInfo().log(
                        "permits: kind=%s name=%s %s", kind, entry.getKey(), queue.resetReport());
            }
            if (!queue.hasWaiting() && nowMillis - entry.getValue().askedMillis > IDLE_MILLIS) {
                it.remove();
            }
        }
    }
}
