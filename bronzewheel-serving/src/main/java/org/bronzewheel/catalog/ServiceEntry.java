package org.bronzewheel.catalog;

import java.util.Optional;

/**
 * A group of interchangeable upstreams.
 *
 * @param name the name of the service
 * @param maxConnections the maximum number of connections per upstream, over all routers
 * @param stagePool the limits if the upstreams run pipeline stages
 * @param enginePool the limits if the upstreams are model engines
 */
public record ServiceEntry(
        String name,
        int maxConnections,
        Optional<StagePool> stagePool,
        Optional<EnginePool> enginePool) {}
