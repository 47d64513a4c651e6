package org.bronzewheel.stages;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import org.bronzewheel.upstreams.Upstream;

/** The owner's state of a stage upstream: running calls, speed and space for results. */
final class StageWorker {
    private static final double SMOOTHING = 0.4;
    private static final int MAX_FREED_HANDLES = 2_000;
    private static final double SLOWNESS_THRESHOLD = 1.8;
    private static final long NOT_RUN_PAUSE_MILLIS = 120;
    private static final long BROKEN_PAUSE_MILLIS = 600;

    /** The longest pause of an upstream that cannot be reached; its entry may last for seconds. */
    private static final long MAX_UNREACHABLE_PAUSE_MILLIS = 960;

    private static final long NO_ROOM_BACKOFF_MILLIS = 150;
    private static final long MAX_NO_ROOM_BACKOFF_MILLIS = 800;

    private final Upstream upstream;
    private final StagePermit permit = new StagePermit();
    private final Map<String, StoredResult> stored = new HashMap<>();
    private final Set<String> freedHandles = new HashSet<>();
    private int running;
    private long reservedBytes;
    private long storedBytes;
    private double slowness = 1;
    private long pausedUntilMillis = Long.MIN_VALUE / 2;
    private long lastCallMillis = Long.MIN_VALUE / 2;
    private long noRoomBackoffMillis = NO_ROOM_BACKOFF_MILLIS;
    private long noRoomUntilMillis = Long.MIN_VALUE / 2;
    private long noRoomForBytes;
    private long unreachablePauseMillis;

    private record StoredResult(long bytes, long untilMillis) {}

    StageWorker(Upstream upstream) {
        this.upstream = upstream;
    }

    String describe(long nowMillis) {
        return "%s running=%d slowness=%.2f reportedSlowness=%.2f usedKilobytes=%d pausedMillis=%d"
                .formatted(
                        upstream.entry().id(),
                        running,
                        slowness,
                        upstream.reportedSlowness(nowMillis),
                        usedBytes(nowMillis) / 1_000,
                        Math.max(0, pausedUntilMillis - nowMillis));
    }

    Upstream upstream() {
        return upstream;
    }

    StagePermit permit() {
        return permit;
    }

    boolean stores(String handle) {
        return stored.containsKey(handle);
    }

    boolean isIdle(long nowMillis, int slots) {
        return running < slots && isCallable(nowMillis);
    }

    /** Returns the time until the first upstream may be called; 0 without upstreams. */
    static long firstCallableMillis(Collection<StageWorker> workers, long nowMillis) {
        return workers.stream()
                .mapToLong(worker -> worker.notCallableMillis(nowMillis))
                .min()
                .orElse(0);
    }

    /** Returns how long the upstream is not called yet, because it is paused or unreachable. */
    private long notCallableMillis(long nowMillis) {
        long unreachableMillis = unreachablePauseMillis > 0 ? pausedUntilMillis - nowMillis : 0;
        return Math.max(upstream.blockedMillis(nowMillis), unreachableMillis);
    }

    private boolean isCallable(long nowMillis) {
        return nowMillis >= pausedUntilMillis
                && upstream.blockedMillis(nowMillis) == 0
                && !upstream.isMisdirected();
    }

    /** Returns whether the upstream can do the work of a slow one. */
    boolean canReplaceSlow(long nowMillis) {
        return isCallable(nowMillis) && !needsProbe();
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

    /**
     * Records the duration of a call. What exceeds the expected duration counts only as far as the
     * upstream does not report that it is slow at present.
     */
    void recordDuration(double elapsedMillis, double expectedMillis, long nowMillis) {
        unreachablePauseMillis = 0;
        double ratio = elapsedMillis / expectedMillis;
        double unexplained = ratio / Math.max(1, upstream.reportedSlowness(nowMillis));
        slowness += SMOOTHING * (Math.max(Math.min(1, ratio), unexplained) - slowness);
    }

    /** Returns the smoothed ratio of actual to expected call duration. */
    double slowness() {
        return slowness;
    }

    /** Returns the ratio for a call now, which includes what the upstream reports. */
    double slowness(long nowMillis) {
        return slowness * upstream.reportedSlowness(nowMillis);
    }

    long lastCallMillis() {
        return lastCallMillis;
    }

    /** Pauses the upstream after a failed call, longer each time that it cannot be reached. */
    void recordFailure(StageCallFailure failure, long nowMillis) {
        unreachablePauseMillis =
                switch (failure) {
                    case NOT_SENT ->
                            Math.min(
                                    MAX_UNREACHABLE_PAUSE_MILLIS,
                                    Math.max(NOT_RUN_PAUSE_MILLIS, 2 * unreachablePauseMillis));
                    // A withheld call does not show whether the upstream can be reached.
                    case WITHHELD -> unreachablePauseMillis;
                    case REJECTED, MISDIRECTED, BROKEN -> 0;
                };
        if (failure == StageCallFailure.MISDIRECTED) {
            upstream.markMisdirected();
        }
        long pauseMillis =
                switch (failure) {
                    case NOT_SENT -> unreachablePauseMillis;
                    case WITHHELD, REJECTED, MISDIRECTED -> NOT_RUN_PAUSE_MILLIS;
                    case BROKEN -> BROKEN_PAUSE_MILLIS;
                };
        pausedUntilMillis = Math.max(pausedUntilMillis, nowMillis + pauseMillis);
    }

    /** Returns whether calls take much longer than expected. */
    boolean isSlow() {
        return slowness >= SLOWNESS_THRESHOLD;
    }

    /**
     * Returns whether the next call holds only one task, because the upstream is slow or the last
     * call did not reach it.
     */
    boolean needsProbe() {
        return isSlow() || unreachablePauseMillis > 0;
    }

    void store(String handle, long bytes, long untilMillis) {
        if (stored.put(handle, new StoredResult(bytes, untilMillis)) == null) {
            storedBytes += bytes;
        }
    }

    /**
     * Records that the upstream had no space for a result, as others or a former owner have left
     * results there. Results of that size or larger are not sent for a period that doubles, up to a
     * limit, while this continues.
     */
    void recordNoRoom(long bytes, long nowMillis) {
        if (nowMillis < noRoomUntilMillis) {
            noRoomForBytes = Math.min(noRoomForBytes, bytes);
            return;
        }
        boolean repeated = nowMillis - noRoomUntilMillis < MAX_NO_ROOM_BACKOFF_MILLIS;
        noRoomBackoffMillis =
                repeated
                        ? Math.min(MAX_NO_ROOM_BACKOFF_MILLIS, 2 * noRoomBackoffMillis)
                        : NO_ROOM_BACKOFF_MILLIS;
        noRoomUntilMillis = nowMillis + noRoomBackoffMillis;
        noRoomForBytes = bytes;
    }

    /** Returns whether a result of that size was recently rejected for lack of space. */
    boolean lacksRoomFor(long bytes, long nowMillis) {
        return nowMillis < noRoomUntilMillis && bytes >= noRoomForBytes;
    }

    /** Marks a result as being freed; returns false if it already was. */
    boolean beginFree(String handle) {
        if (freedHandles.size() >= MAX_FREED_HANDLES) {
            freedHandles.clear();
        }
        return freedHandles.add(handle);
    }

    /** Removes a freed result from the accounting of used space. */
    void endFree(String handle) {
        StoredResult removed = stored.remove(handle);
        if (removed != null) {
            storedBytes -= removed.bytes();
            noRoomUntilMillis = Long.MIN_VALUE / 2;
        }
    }

    long usedBytes(long nowMillis) {
        for (Iterator<StoredResult> it = stored.values().iterator(); it.hasNext(); ) {
            StoredResult next = it.next();
            if (nowMillis >= next.untilMillis()) {
                it.remove();
                storedBytes -= next.bytes();
            }
        }
        return storedBytes + reservedBytes;
    }
}
