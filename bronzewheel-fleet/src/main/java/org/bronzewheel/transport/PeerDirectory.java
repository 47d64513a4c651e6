package org.bronzewheel.transport;

import java.net.InetSocketAddress;
import java.util.Optional;

/** A directory of the peer ports of routers. */
@FunctionalInterface
public interface PeerDirectory {
    /**
     * Finds the peer port of a VM; must not block.
     *
     * @param vmId the VM
     * @return its address with a resolved IP number, or empty where the VM is unknown
     */
    Optional<InetSocketAddress> find(String vmId);
}
