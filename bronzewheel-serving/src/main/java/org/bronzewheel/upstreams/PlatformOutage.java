package org.bronzewheel.upstreams;

/**
 * The latest outage of the platform as far as this router can tell, which decides how long removed
 * entries may still come back.
 *
 * <p>The router notices the return late, so the time at which the platform was last known to be
 * unavailable stands for the return. An outage that is too short for the registration of a running
 * upstream to expire is ignored.
 */
final class PlatformOutage {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final long expiryMillis;
    private boolean ongoing;
    private long answeredMillis = NEVER;
    private long unavailableMillis = NEVER;

    /**
     * Creates a record without an outage.
     *
     * @param expiryMillis the shortest outage in which a registration can expire, in milliseconds
     */
    PlatformOutage(long expiryMillis) {
        this.expiryMillis = expiryMillis;
    }

    /**
     * Records a request to the platform that failed.
     *
     * @param sentMillis when it was sent, in milliseconds of the steady clock
     */
    void failed(long sentMillis) {
        ongoing = true;
        unavailableMillis = Math.max(unavailableMillis, sentMillis);
    }

    /**
     * Records a response of the platform.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return whether it ends an outage in which registrations may have expired
     */
    boolean answered(long nowMillis) {
        boolean ended = ongoing && nowMillis - answeredMillis >= expiryMillis;
        ongoing = false;
        answeredMillis = Math.max(answeredMillis, nowMillis);
        return ended;
    }

    /** Returns whether the platform was unavailable when it was last asked. */
    boolean isOngoing() {
        return ongoing;
    }

    /** Returns the latest time at which the platform is known to have been unavailable. */
    long unavailableMillis() {
        return unavailableMillis;
    }
}
