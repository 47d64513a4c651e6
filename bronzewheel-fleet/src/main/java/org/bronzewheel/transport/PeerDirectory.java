package org.bronzewheel.transport;

import java.net.InetSocketAddress;
import java.util.Optional;

/** Resolves the peer addresses of routers. */
@FunctionalInterface
public interface PeerDirectory {
    /**
     * Finds the peer address of a VM; must not block.
     *
     * @param vmId the VM
     * @return the resolved address, or empty if the VM is unknown
     */
    Optional<InetSocketAddress> find(String vmId);
}
