package org.bronzewheel.loop;

/**
 * An upper estimate of a duration, from the smoothed mean and mean deviation of the samples, as for
 * the TCP retransmission timeout (RFC 6298).
 */
public final class TimeEstimate {
    private static final double MEAN_GAIN = 0.125;
    private static final double DEVIATION_GAIN = 0.25;
    private static final int DEVIATIONS = 2;

    private double meanMillis;
    private double deviationMillis;
    private boolean sampled;

    /**
     * Adds a sample.
     *
     * @param millis a duration, in milliseconds
     */
    public void sample(double millis) {
        if (!sampled) {
            sampled = true;
            meanMillis = millis;
            return;
        }
        deviationMillis += DEVIATION_GAIN * (Math.abs(millis - meanMillis) - deviationMillis);
        meanMillis += MEAN_GAIN * (millis - meanMillis);
    }

    /**
     * Returns the duration that most samples do not exceed, or the default if there are no samples.
     *
     * @param defaultMillis the default, in milliseconds
     * @return the duration, in milliseconds
     */
    public double millisOr(double defaultMillis) {
        return sampled ? meanMillis + DEVIATIONS * deviationMillis : defaultMillis;
    }
}
