package org.bronzewheel.stages;

/**
 * An estimate of a time that most samples keep: the smoothed mean and mean deviation of the
 * samples, as TCP estimates its retransmission time (RFC 6298).
 */
final class TimeEstimate {
    private static final double MEAN_GAIN = 0.125;
    private static final double DEVIATION_GAIN = 0.25;
    private static final int DEVIATIONS = 2;

    private double meanMillis;
    private double deviationMillis;
    private boolean sampled;

    void sample(double millis) {
        if (!sampled) {
            sampled = true;
            meanMillis = millis;
            return;
        }
        deviationMillis += DEVIATION_GAIN * (Math.abs(millis - meanMillis) - deviationMillis);
        meanMillis += MEAN_GAIN * (millis - meanMillis);
    }

    /** Returns the time that most samples keep, or another one where there are no samples. */
    double millisOr(double unknownMillis) {
        return sampled ? meanMillis + DEVIATIONS * deviationMillis : unknownMillis;
    }
}
