package org.bronzewheel.http;

/**
 * The limits of all connections of one or several servers together. Used on one event loop only.
 *
 * @param connections limits their number
 * @param heads limits the memory of their request heads
 * @param unsent limits the memory of responses that callers do not read
 * @param turns limits the event loop's time for costly reads
 */
public record ConnectionLimits(
        OpenConnections connections, HeadMemory heads, UnsentMemory unsent, ReadTurns turns) {
    /**
     * Returns limits for another server, which has a number of connections of its own.
     *
     * @param maxConnections the maximum number of its connections
     * @return the limits
     */
    public ConnectionLimits withConnections(int maxConnections) {
        return new ConnectionLimits(new OpenConnections(maxConnections), heads, unsent, turns);
    }
}
