package org.bronzewheel.document;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Schedules the reads of the platform by one relay.
 *
 * <p>Readers poll it continuously. All other routers share a budget of reads per second, so that
 * the load on the platform does not grow with the fleet. The budget is small while some router is
 * known to have read recently and larger once the last known read is stale.
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

    /** Returns whether a read is due and, if so, marks it as started. */
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

    /**
     * Moves the next read forward: to now for a reader, otherwise to a random time within the
     * spread.
     */
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

    /** Returns a random duration between 0.5 and 1.5 times the given one. */
    private long jittered(long millis) {
        return (long) (nanos(millis) * (0.5 + random.nextDouble()));
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
