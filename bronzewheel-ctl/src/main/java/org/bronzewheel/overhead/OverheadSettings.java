package org.bronzewheel.overhead;

/**
 * The size of an overhead measurement.
 *
 * @param rounds how often direct and routed calls take turns, at least 1
 * @param callsPerRound calls of each kind in a round, at least 1
 * @param concurrency calls in progress at once, at least 1
 */
public record OverheadSettings(int rounds, int callsPerRound, int concurrency) {}
