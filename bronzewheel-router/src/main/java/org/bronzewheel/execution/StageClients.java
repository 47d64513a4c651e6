package org.bronzewheel.execution;

import org.bronzewheel.inventory.PoolKind;
import org.bronzewheel.upstream.StageClient;

/** A choice of the client that speaks the protocol of a kind of pool. */
@FunctionalInterface
public interface StageClients {
    /**
     * Returns the client.
     *
     * @param kind the kind of the pool
     * @return the client; plain services have one of their own
     */
    StageClient of(PoolKind kind);
}
