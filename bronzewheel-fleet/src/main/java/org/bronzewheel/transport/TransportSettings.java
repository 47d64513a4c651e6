package org.bronzewheel.transport;

/**
 * Limits and timeouts of a transport.
 *
 * @param maxFrameBytes the maximum frame size, in bytes
 * @param outboundQueueBytes the maximum size of the queue for one peer, in bytes
 * @param connectTimeoutMillis the connect timeout, in milliseconds
 * @param minBackoffMillis the backoff after the first failed connection attempt, in milliseconds
 * @param maxBackoffMillis the maximum backoff between connection attempts, in milliseconds
 * @param silenceMillis the time without received data after which a peer that was written to is
 *     pinged; after the same time again without data the connection is closed, in milliseconds
 * @param idleMillis the time after which an unused connection is closed, in milliseconds
 * @param ioThreads the number of I/O threads for all connections
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
    /** Defaults suitable for routers in one or two regions. */
    public static final TransportSettings DEFAULT =
            new TransportSettings(8 << 20, 16L << 20, 1_000, 50, 2_000, 3_000, 60_000, 2);
}
