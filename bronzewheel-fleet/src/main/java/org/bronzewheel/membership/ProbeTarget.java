package org.bronzewheel.membership;

/** The state of probing one router. */
final class ProbeTarget {
    private static final int MAX_FACTOR = 4;
    private static final long CALM_NANOS = 60_000_000_000L;

    private final String vmId;
    private long sequence;
    private boolean pending;
    private boolean helpAsked;
    private int missed;
    private int factor = 1;
    private long lastSuspectedNanos;

    ProbeTarget(String vmId) {
        this.vmId = vmId;
    }

    String vmId() {
        return vmId;
    }

    long sequence() {
        return sequence;
    }

    void begin(long newSequence) {
        sequence = newSequence;
        pending = true;
        helpAsked = false;
    }

    void acknowledge(long acknowledgedSequence) {
        if (acknowledgedSequence == sequence) {
            pending = false;
            missed = 0;
        }
    }

    /** Tells, once a probe, that other routers are to be asked. */
    boolean needsHelp() {
        boolean needs = pending && !helpAsked;
        helpAsked = true;
        return needs;
    }

    /** Ends the current probe; tells whether so many were missed that the target is suspect. */
    boolean end(int missedProbes, long nowNanos) {
        if (!pending) {
            return false;
        }
        pending = false;
        missed++;
        if (nowNanos - lastSuspectedNanos > CALM_NANOS) {
            factor = 1;
        }
        return missed >= missedProbes * factor;
    }

    /** Makes the next suspicion slower, so that a target which comes and goes does not flap. */
    void noteSuspected(long nowNanos) {
        factor = Math.min(2 * factor, MAX_FACTOR);
        lastSuspectedNanos = nowNanos;
    }

    /** Ends the current probe without counting it. */
    void skip() {
        pending = false;
    }

    void reset() {
        pending = false;
        missed = 0;
    }
}
