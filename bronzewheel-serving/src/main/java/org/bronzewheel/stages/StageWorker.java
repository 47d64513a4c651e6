package org.bronzewheel.stages;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import org.bronzewheel.upstreams.Upstream;

/** A stage upstream as its owner sees it: its calls, its speed and its room for results. */
final class StageWorker {
    private static final double SMOOTHING = 0.4;
    private static final int REMEMBERED_FREED = 2_000;
    private static final long FULL_MILLIS = 150;
    private static final long LONGEST_FULL_MILLIS = 800;

    private final Upstream upstream;
    private final StagePermit permit = new StagePermit();
    private final Map<String, Kept> kept = new HashMap<>();
    private final Set<String> freed = new HashSet<>();
    private int running;
    private long reservedBytes;
    private long keptBytes;
    private double slowness = 1;
    private long pausedUntilMillis = Long.MIN_VALUE / 2;
    private long lastCallMillis = Long.MIN_VALUE / 2;
    private long fullMillis = FULL_MILLIS;
    private long fullUntilMillis = Long.MIN_VALUE / 2;
    private long fullForBytes;

    private record Kept(long bytes, long untilMillis) {}

    StageWorker(Upstream upstream) {
        this.upstream = upstream;
    }

    String describe(long nowMillis) {
        return "%s running=%d slowness=%.2f usedKilobytes=%d pausedMillis=%d"
                .formatted(
                        upstream.entry().id(),
                        running,
                        slowness,
                        usedBytes(nowMillis) / 1_000,
                        Math.max(0, pausedUntilMillis - nowMillis));
    }

    Upstream upstream() {
        return upstream;
    }

    StagePermit permit() {
        return permit;
    }

    boolean keeps(String handle) {
        return kept.containsKey(handle);
    }

    boolean isIdle(long nowMillis, int slots) {
        return running < slots
                && nowMillis >= pausedUntilMillis
                && upstream.blockedMillis(nowMillis) == 0
                && !upstream.isMisdirected();
    }

    long pausedUntilMillis() {
        return pausedUntilMillis;
    }

    void begin(long bytes, long nowMillis) {
        upstream.requestSent(nowMillis);
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

    /**
     * Books that a result found no room: others, or an owner before this one, have left results
     * there. Larger ones are not tried for a while, which grows as long as that goes on.
     */
    void noRoomFor(long bytes, long nowMillis) {
        if (nowMillis < fullUntilMillis) {
            fullForBytes = Math.min(fullForBytes, bytes);
            return;
        }
        boolean again = nowMillis - fullUntilMillis < LONGEST_FULL_MILLIS;
        fullMillis = again ? Math.min(LONGEST_FULL_MILLIS, 2 * fullMillis) : FULL_MILLIS;
        fullUntilMillis = nowMillis + fullMillis;
        fullForBytes = bytes;
    }

    /** Tells whether a result of that size found no room a short time ago. */
    boolean lacksRoomFor(long bytes, long nowMillis) {
        return nowMillis < fullUntilMillis && bytes >= fullForBytes;
    }

    /** Notes that a result is being freed; tells whether it was not before. */
    boolean beginFree(String handle) {
        if (freed.size() >= REMEMBERED_FREED) {
            freed.clear();
        }
        return freed.add(handle);
    }

    /** Gives the room of a freed result back. */
    void endFree(String handle) {
        Kept held = kept.remove(handle);
        if (held != null) {
            keptBytes -= held.bytes();
            fullUntilMillis = Long.MIN_VALUE / 2;
        }
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
