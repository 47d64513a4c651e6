package org.bronzewheel.overhead;

import org.HdrHistogram.Histogram;

/** What the calls of one kind took, summed over the rounds. */
final class PhaseCost {
    private static final double MEDIAN_PERCENTILE = 50;
    private static final double TAIL_PERCENTILE = 99;
    private static final double NANOS_PER_MICRO = 1_000;
    private static final long MAX_NANOS = 60_000_000_000L;
    private static final int DIGITS = 3;

    private final Histogram latencyNanos = new Histogram(MAX_NANOS, DIGITS);
    private long calls;
    private long elapsedNanos;
    private long processorNanos;
    private long allocatedBytes;

    void addLatency(long nanos) {
        latencyNanos.recordValue(Math.min(nanos, MAX_NANOS));
    }

    void addRound(int roundCalls, ProcessUsage used, long roundNanos) {
        calls += roundCalls;
        elapsedNanos += roundNanos;
        processorNanos += used.processorNanos();
        allocatedBytes += used.allocatedBytes();
    }

    double medianMicros() {
        return latencyNanos.getValueAtPercentile(MEDIAN_PERCENTILE) / NANOS_PER_MICRO;
    }

    double tailMicros() {
        return latencyNanos.getValueAtPercentile(TAIL_PERCENTILE) / NANOS_PER_MICRO;
    }

    double callsPerSecond() {
        return calls * 1e9 / elapsedNanos;
    }

    double processorMicrosPerCall() {
        return processorNanos / NANOS_PER_MICRO / calls;
    }

    double allocatedBytesPerCall() {
        return (double) allocatedBytes / calls;
    }
}
