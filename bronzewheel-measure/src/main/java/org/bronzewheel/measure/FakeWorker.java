package org.bronzewheel.measure;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.LongConsumer;
import org.bronzewheel.inventory.Upstream;

/** A worker with slots, a queue by priority, and a cache of prompt prefixes. */
final class FakeWorker {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int CACHED_PREFIXES = 12;

    final Upstream upstream;
    double speed = 1;
    boolean refuses;
    LongConsumer onStored = prefix -> {};

    private final EventLoop loop;
    private final int slots;
    private final PriorityQueue<Job> queue =
            new PriorityQueue<>(
                    Comparator.<Job>comparingInt(j -> j.priority)
                            .thenComparingLong(j -> j.sequence));
    private final Map<Long, Boolean> cache =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                    return size() > CACHED_PREFIXES;
                }
            };
    private int busy;

    FakeWorker(Upstream upstream, int slots, EventLoop loop) {
        this.upstream = upstream;
        this.slots = slots;
        this.loop = loop;
    }

    int busy() {
        return busy;
    }

    int queued() {
        return queue.size();
    }

    void submit(Job job) {
        queue.add(job);
        startNext();
    }

    /** Cancels a call and returns the work done on it, in milliseconds. */
    double cancel(Job job) {
        if (job.ended) {
            return 0;
        }
        job.ended = true;
        if (job.startedNanos < 0) {
            queue.remove(job);
            return 0;
        }
        busy--;
        double done = (loop.nowNanos() - job.startedNanos) / NANOS_PER_MILLI * job.speed;
        startNext();
        return done;
    }

    private void startNext() {
        while (busy < slots && !queue.isEmpty()) {
            start(queue.poll());
        }
    }

    private void start(Job job) {
        busy++;
        job.startedNanos = loop.nowNanos();
        job.speed = speed;
        boolean cached = job.prefix != 0 && cache.put(job.prefix, true) != null;
        if (job.prefix != 0 && !cached) {
            onStored.accept(job.prefix);
        }
        double work = cached ? job.workMillis - job.prefillMillis : job.workMillis;
        if (speed > 0) {
            loop.afterMillis(work / speed, () -> finish(job, work));
        }
    }

    private void finish(Job job, double work) {
        if (job.ended) {
            return;
        }
        job.ended = true;
        busy--;
        job.onDone.accept(work);
        startNext();
    }
}
