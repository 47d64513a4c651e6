package org.bronzewheel.document;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * The times at which one relay reads the platform.
 *
 * <p>Readers watch it without a pause. The others share a number of reads a second, so that the
 * load on the platform does not grow with the fleet: few while some router is known to have read
 * lately, more once that is long ago.
 */
final class ReadSchedule {
    private static final int MAX_DOUBLINGS = 16;
    private static final long MIN_SPREAD_MILLIS = 1_000;
    private static final long MIN_FRESH_INTERVAL_MILLIS = 30_000;

    private final RelaySettings settings;
    private final RandomGenerator random;
    private boolean reading;
    private boolean eager;
    private boolean started;
    private int failures;
    private long nextReadNanos;

    ReadSchedule(RelaySettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
    }

    /** Tells whether a read is due, and if so marks it as begun. */
    boolean beginIfDue(RelayPeers peers, boolean fresh, long nowNanos) {
        boolean nowEager = peers.reader() || !fresh;
        if (!started || (nowEager && !eager)) {
            advance(peers, nowNanos);
        }
        started = true;
        eager = nowEager;
        if (reading || nowNanos - nextReadNanos < 0) {
            return false;
        }
        reading = true;
        return true;
    }

    void completed(RelayPeers peers, boolean fresh, long nowNanos) {
        reading = false;
        failures = 0;
        long pauseMillis = settings.readerIntervalMillis();
        if (!peers.reader()) {
            pauseMillis = sharedPauseMillis(peers, fresh);
        }
        nextReadNanos = nowNanos + jittered(pauseMillis);
    }

    void failed(RelayPeers peers, boolean fresh, long nowNanos) {
        reading = false;
        long pauseMillis =
                Math.min(settings.minBackoffMillis() << failures, settings.maxBackoffMillis());
        failures = Math.min(failures + 1, MAX_DOUBLINGS);
        if (!peers.reader()) {
            pauseMillis = Math.max(pauseMillis, sharedPauseMillis(peers, fresh));
        }
        nextReadNanos = nowNanos + jittered(pauseMillis);
    }

    /** Brings the next read forward, for a reader to now, for others to a random time soon. */
    private void advance(RelayPeers peers, long nowNanos) {
        long candidate = nowNanos;
        if (!peers.reader()) {
            candidate += (long) (random.nextDouble() * nanos(spreadMillis(peers)));
        }
        if (!started || candidate - nextReadNanos < 0) {
            nextReadNanos = candidate;
        }
    }

    private long spreadMillis(RelayPeers peers) {
        return Math.max(
                MIN_SPREAD_MILLIS, peers.routers() * 1_000L / settings.staleReadsPerSecond());
    }

    private long sharedPauseMillis(RelayPeers peers, boolean fresh) {
        if (!fresh) {
            return spreadMillis(peers);
        }
        return Math.max(
                MIN_FRESH_INTERVAL_MILLIS,
                peers.routers() * 1_000L / settings.freshReadsPerSecond());
    }

    /** Half to one and a half of a time. */
    private long jittered(long millis) {
        return (long) (nanos(millis) * (0.5 + random.nextDouble()));
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
