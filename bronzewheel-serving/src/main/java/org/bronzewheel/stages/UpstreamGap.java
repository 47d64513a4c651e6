package org.bronzewheel.stages;

/** The time for which a stage service has had no upstream, as its owner observes it. */
final class UpstreamGap {
    /**
     * The longest time that jobs wait for an upstream to appear. An upstream that is replaced has
     * no entry for a moment, and the submitter of a job may have read a change up to a second
     * before the owner.
     */
    static final long MAX_MILLIS = 1_000;

    private static final long NEVER = Long.MAX_VALUE;

    private long sinceMillis = NEVER;

    /**
     * Records whether the service has upstreams.
     *
     * @return whether it has had none for too long
     */
    boolean observe(boolean empty, long nowMillis) {
        sinceMillis = empty ? Math.min(sinceMillis, nowMillis) : NEVER;
        return empty && nowMillis - sinceMillis >= MAX_MILLIS;
    }
}
