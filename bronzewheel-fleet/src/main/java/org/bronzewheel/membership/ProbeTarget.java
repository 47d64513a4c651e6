package org.bronzewheel.membership;

/** The probe state of one target router. */
final class ProbeTarget {
    private static final int MAX_BACKOFF_FACTOR = 4;
    private static final long BACKOFF_RESET_NANOS = 60_000_000_000L;

    private final String vmId;
    private long sequence;
    private boolean pending;
    private boolean helpRequested;
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
        helpRequested = false;
    }

    void acknowledge(long acknowledgedSequence) {
        if (acknowledgedSequence == sequence) {
            pending = false;
            missed = 0;
        }
    }

    /**
     * Returns true at most once per probe, if other routers are to be asked to probe the target.
     */
    boolean needsHelp() {
        boolean needs = pending && !helpRequested;
        helpRequested = true;
        return needs;
    }

    /**
     * Ends the current probe; returns whether the number of missed probes makes the target a
     * suspect.
     */
    boolean end(int missedProbes, long nowNanos) {
        if (!pending) {
            return false;
        }
        pending = false;
        missed++;
        if (nowNanos - lastSuspectedNanos > BACKOFF_RESET_NANOS) {
            factor = 1;
        }
        return missed >= missedProbes * factor;
    }

    /**
     * Raises the number of missed probes for the next suspicion, so that an intermittently
     * reachable target does not flap.
     */
    void recordSuspicion(long nowNanos) {
        factor = Math.min(2 * factor, MAX_BACKOFF_FACTOR);
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
