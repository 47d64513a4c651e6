package org.bronzewheel.upstream;

/**
 * An upstream's report of its load.
 *
 * @param inFlight calls that it works on
 * @param queued calls that wait at it
 * @param sequence grows with each report
 */
public record LoadReport(int inFlight, int queued, long sequence) {}
