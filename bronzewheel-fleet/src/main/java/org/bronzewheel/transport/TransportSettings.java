package org.bronzewheel.transport;

/**
 * The limits of a transport.
 *
 * @param maxFrameBytes the largest frame, in bytes
 * @param outboundQueueBytes what may wait for one peer, in bytes
 * @param connectTimeoutMillis the longest wait for a connection, in milliseconds
 * @param minBackoffMillis the pause after the first failed connection, in milliseconds
 * @param maxBackoffMillis the longest pause between connections, in milliseconds
 * @param silenceMillis after this time without a byte the peer is asked for a sign of life, and
 *     after it again the connection is closed, in milliseconds
 * @param idleMillis an unused connection is closed after this time, in milliseconds
 * @param ioThreads threads that carry all connections
 */
public record TransportSettings(
        int maxFrameBytes,
        long outboundQueueBytes,
        int connectTimeoutMillis,
        long minBackoffMillis,
        long maxBackoffMillis,
        long silenceMillis,
        long idleMillis,
        int ioThreads) {
    /** Limits that fit routers of one region or of two. */
    public static final TransportSettings DEFAULT =
            new TransportSettings(8 << 20, 16L << 20, 1_000, 50, 2_000, 3_000, 60_000, 2);
}
