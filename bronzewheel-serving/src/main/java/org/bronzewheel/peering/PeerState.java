package org.bronzewheel.peering;

/** The state that a router keeps about another one. */
final class PeerState {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final long createdMillis;
    private long incarnation = Long.MIN_VALUE;
    private long beat;
    private long heardMillis = NEVER;
    private long unansweredMillis = NEVER;
    private boolean leaving;
    private int capacity = RouterCapacity.DEFAULT;
    private boolean needsForwarding;

    PeerState(long createdMillis) {
        this.createdMillis = createdMillis;
    }

    /**
     * Applies a heartbeat if it is newer than the last one. Incarnations follow the wall clock,
     * which may step back: once the router counts as silent, any other incarnation is accepted as
     * newer.
     */
    void hear(Heartbeat heartbeat, long nowMillis, long silenceMillis) {
        boolean restarted =
                heartbeat.incarnation() > incarnation
                        || (heartbeat.incarnation() < incarnation
                                && !isLive(nowMillis, silenceMillis));
        boolean newer = heartbeat.incarnation() == incarnation && heartbeat.beat() > beat;
        if (restarted || newer) {
            incarnation = heartbeat.incarnation();
            beat = heartbeat.beat();
            leaving = heartbeat.leaving();
            capacity = heartbeat.capacity();
            needsForwarding = true;
            heardMillis = nowMillis;
        }
    }

    /** Records that the router did not answer; it stays suspected until its next heartbeat. */
    void suspect(long nowMillis) {
        unansweredMillis = nowMillis;
    }

    boolean isSuspected() {
        return unansweredMillis >= heardMillis;
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

    /**
     * Returns the time since the last heartbeat or, if there was none, since the router was first
     * listed.
     */
    long silentMillis(long nowMillis) {
        return nowMillis - Math.max(heardMillis, createdMillis);
    }

    boolean needsForwarding() {
        return needsForwarding;
    }

    void markForwarded() {
        needsForwarding = false;
    }

    Heartbeat heartbeat(String vmId) {
        return new Heartbeat(vmId, incarnation, beat, leaving, capacity);
    }

    Heartbeat presenceOnly(String vmId) {
        return new Heartbeat(vmId, incarnation, 0, leaving, capacity);
    }
}
