package org.bronzewheel.standin;

/**
 * The settings that all upstream stand-ins share.
 *
 * @param pool the name of the pool
 * @param name the name of the upstream
 * @param host the IP number to listen on
 * @param port the port to listen on, 0 for any
 * @param workers calls worked on at once, at least 1
 * @param maxQueued calls that wait for a worker before further ones are refused
 * @param workMillis time that one call takes a worker, in milliseconds
 * @param loadLagMillis the age that a load report reaches before the next one, in milliseconds
 * @param seed the seed of the fault switches
 */
public record UpstreamSettings(
        String pool,
        String name,
        String host,
        int port,
        int workers,
        int maxQueued,
        long workMillis,
        long loadLagMillis,
        long seed) {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int DEFAULT_WORKERS = 8;
    private static final int DEFAULT_MAX_QUEUED = 256;
    private static final long DEFAULT_WORK_MILLIS = 3;
    private static final long DEFAULT_LOAD_LAG_MILLIS = 100;

    /**
     * Returns settings of an upstream on any loopback port.
     *
     * @param pool the name of the pool
     * @param name the name of the upstream
     * @return the settings
     */
    public static UpstreamSettings of(String pool, String name) {
        return new UpstreamSettings(
                pool,
                name,
                LOOPBACK,
                0,
                DEFAULT_WORKERS,
                DEFAULT_MAX_QUEUED,
                DEFAULT_WORK_MILLIS,
                DEFAULT_LOAD_LAG_MILLIS,
                name.hashCode());
    }

    /**
     * Changes where it listens.
     *
     * @param newHost the IP number
     * @param newPort the port, 0 for any
     * @return a copy
     */
    public UpstreamSettings withAddress(String newHost, int newPort) {
        return new UpstreamSettings(
                pool, name, newHost, newPort, workers, maxQueued, workMillis, loadLagMillis, seed);
    }

    /**
     * Changes its capacity.
     *
     * @param newWorkers calls worked on at once, at least 1
     * @param newMaxQueued calls that wait before further ones are refused
     * @param newWorkMillis time that one call takes a worker, in milliseconds
     * @return a copy
     */
    public UpstreamSettings withCapacity(int newWorkers, int newMaxQueued, long newWorkMillis) {
        return new UpstreamSettings(
                pool,
                name,
                host,
                port,
                newWorkers,
                newMaxQueued,
                newWorkMillis,
                loadLagMillis,
                seed);
    }
}
