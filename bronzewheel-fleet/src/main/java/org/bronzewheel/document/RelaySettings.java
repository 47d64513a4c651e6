package org.bronzewheel.document;

/**
 * The times and limits of a relay.
 *
 * @param tickMillis time between ticks, in milliseconds
 * @param watchMillis the longest wait of a reader's long poll, in milliseconds
 * @param announceMillis time between announcements to one neighbour, in milliseconds
 * @param fetchTimeoutMillis the longest wait for the content from one peer, in milliseconds
 * @param minBackoffMillis the pause after the first failed read, in milliseconds
 * @param maxBackoffMillis the longest pause between failed reads of a reader, in milliseconds
 * @param staleAfterMillis age of the last known read in the fleet after which routers that are not
 *     readers read as well, in milliseconds
 * @param readerIntervalMillis the shortest time between reads of a router, in milliseconds
 * @param staleReadsPerSecond total reads per second of all routers that are not readers while the
 *     last known read is stale
 * @param freshReadsPerSecond total reads per second of these routers otherwise
 * @param maxContentBytes the largest uncompressed document, in bytes
 */
public record RelaySettings(
        long tickMillis,
        long watchMillis,
        long announceMillis,
        long fetchTimeoutMillis,
        long minBackoffMillis,
        long maxBackoffMillis,
        long staleAfterMillis,
        long readerIntervalMillis,
        int staleReadsPerSecond,
        int freshReadsPerSecond,
        int maxContentBytes) {
    /** Defaults for fleets of 1 to 390 routers. */
    public static final RelaySettings DEFAULT =
            new RelaySettings(100, 10_000, 1_000, 1_000, 500, 10_000, 20_000, 250, 20, 1, 4 << 20);
}
