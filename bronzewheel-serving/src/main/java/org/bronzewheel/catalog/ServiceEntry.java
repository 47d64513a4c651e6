package org.bronzewheel.catalog;

import java.util.Optional;

/**
 * A group of like upstreams.
 *
 * @param name the name of the service
 * @param maxConnections the connections that one upstream accepts from all callers together
 * @param stagePool the limits where its upstreams run stages
 * @param enginePool the limits where its upstreams are model engines
 */
public record ServiceEntry(
        String name,
        int maxConnections,
        Optional<StagePool> stagePool,
        Optional<EnginePool> enginePool) {}
