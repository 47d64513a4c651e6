package org.bronzewheel.stages;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.bronzewheel.upstreams.Upstream;

/** A stage upstream as its owner sees it: its calls, its speed and its room for results. */
final class StageWorker {
    private static final double SMOOTHING = 0.4;

    private final Upstream upstream;
    private final Map<String, Kept> kept = new HashMap<>();
    private int running;
    private long reservedBytes;
    private long keptBytes;
    private double slowness = 1;
    private long pausedUntilMillis = Long.MIN_VALUE / 2;
    private long lastCallMillis = Long.MIN_VALUE / 2;

    private record Kept(long bytes, long untilMillis) {}

    StageWorker(Upstream upstream) {
        this.upstream = upstream;
    }

    Upstream upstream() {
        return upstream;
    }

    boolean isIdle(long nowMillis, int slots) {
        return running < slots && nowMillis >= pausedUntilMillis && !upstream.isMisdirected();
    }

    long pausedUntilMillis() {
        return pausedUntilMillis;
    }

    void begin(long bytes, long nowMillis) {
        running++;
        reservedBytes += bytes;
        lastCallMillis = nowMillis;
    }

    void end(long bytes) {
        running--;
        reservedBytes -= bytes;
    }

    void measured(double elapsedMillis, double expectedMillis) {
        slowness += SMOOTHING * (elapsedMillis / expectedMillis - slowness);
    }

    /** Returns how many times longer than expected its calls take. */
    double slowness() {
        return slowness;
    }

    long lastCallMillis() {
        return lastCallMillis;
    }

    void pause(long untilMillis) {
        pausedUntilMillis = Math.max(pausedUntilMillis, untilMillis);
    }

    void keep(String handle, long bytes, long untilMillis) {
        if (kept.put(handle, new Kept(bytes, untilMillis)) == null) {
            keptBytes += bytes;
        }
    }

    boolean free(String handle) {
        Kept freed = kept.remove(handle);
        if (freed != null) {
            keptBytes -= freed.bytes();
        }
        return freed != null;
    }

    long usedBytes(long nowMillis) {
        for (Iterator<Kept> it = kept.values().iterator(); it.hasNext(); ) {
            Kept next = it.next();
            if (nowMillis >= next.untilMillis()) {
                it.remove();
                keptBytes -= next.bytes();
            }
        }
        return keptBytes + reservedBytes;
    }
}
