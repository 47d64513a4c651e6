package org.bronzewheel.catalog;

import java.util.Optional;

/**
 * A group of interchangeable upstreams.
 *
 * @param name the name of the service
 * @param maxConnections the maximum number of connections per upstream, over all routers
 * @param stagePool the limits if the upstreams run pipeline stages
 * @param enginePool the limits if the upstreams are model engines
 * @param coldStartMillis how long an upstream is cold after its start, in milliseconds
 * @param coldPerSecond the requests per second that a cold upstream sustains from all routers
 *     together; 0 without a limit
 */
public record ServiceEntry(
        String name,
        int maxConnections,
        Optional<StagePool> stagePool,
        Optional<EnginePool> enginePool,
        long coldStartMillis,
        double coldPerSecond) {
    /**
     * Creates a service whose cold upstreams have no limit of their own.
     *
     * @param name the name of the service
     * @param maxConnections the maximum number of connections per upstream, over all routers
     * @param stagePool the limits if the upstreams run pipeline stages
     * @param enginePool the limits if the upstreams are model engines
     */
    public ServiceEntry(
            String name,
            int maxConnections,
            Optional<StagePool> stagePool,
            Optional<EnginePool> enginePool) {
        this(name, maxConnections, stagePool, enginePool, 0, 0);
    }
}
