package org.bronzewheel.peering;

/** What a router knows of another one. */
final class PeerState {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final long namedMillis;
    private long incarnation = Long.MIN_VALUE;
    private long beat;
    private long heardMillis = NEVER;
    private long suspectedMillis = NEVER;
    private boolean leaving;
    private int capacity = RouterCapacity.DEFAULT;
    private boolean news;

    PeerState(long namedMillis) {
        this.namedMillis = namedMillis;
    }

    /**
     * Takes a sign of life; one that is not newer than the last changes nothing. Incarnations
     * follow the time of day, which may jump back: after a silence any other incarnation is a newer
     * one.
     */
    void hear(Heartbeat sign, long nowMillis, long silenceMillis) {
        boolean restarted =
                sign.incarnation() > incarnation
                        || (sign.incarnation() < incarnation && !isLive(nowMillis, silenceMillis));
        boolean newer = sign.incarnation() == incarnation && sign.beat() > beat;
        if (restarted || newer) {
            incarnation = sign.incarnation();
            beat = sign.beat();
            leaving = sign.leaving();
            capacity = sign.capacity();
            news = true;
            heardMillis = nowMillis;
        }
    }

    /** Books that the router did not answer; it counts as silent until it is heard again. */
    void suspect(long nowMillis) {
        suspectedMillis = nowMillis;
    }

    boolean isSuspected() {
        return suspectedMillis >= heardMillis;
    }

    boolean wasHeard() {
        return heardMillis > NEVER;
    }

    boolean isLive(long nowMillis, long silenceMillis) {
        return nowMillis - heardMillis < silenceMillis;
    }

    boolean isLeaving() {
        return leaving;
    }

    int capacity() {
        return capacity;
    }

    /** Returns the time since the router was heard or, where it never was, since it was named. */
    long silentMillis(long nowMillis) {
        return nowMillis - Math.max(heardMillis, namedMillis);
    }

    boolean isNews() {
        return news;
    }

    void told() {
        news = false;
    }

    Heartbeat sign(String vmId) {
        return new Heartbeat(vmId, incarnation, beat, leaving, capacity);
    }

    Heartbeat name(String vmId) {
        return new Heartbeat(vmId, incarnation, 0, leaving, capacity);
    }
}
