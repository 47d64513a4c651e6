package org.bronzewheel.traffic;

/**
 * The settings of an open-loop load.
 *
 * @param requestsPerSecond the mean rate, in requests a second
 * @param rampMillis how long the rate grows from nothing to its mean at the begin, in milliseconds
 * @param durationMillis how long requests are sent, in milliseconds
 * @param seed the seed of times, kinds and inputs
 * @param keyedPercent idempotent requests that carry a key, in percent
 * @param nonIdempotentKeyedPercent non-idempotent requests that carry a key, in percent
 * @param twicePercent keyed requests that are sent to two routers at once, in percent
 * @param streamedPercent requests that ask for a stream, in percent
 */
public record TrafficSettings(
        double requestsPerSecond,
        long rampMillis,
        long durationMillis,
        long seed,
        int keyedPercent,
        int nonIdempotentKeyedPercent,
        int twicePercent,
        int streamedPercent) {}
