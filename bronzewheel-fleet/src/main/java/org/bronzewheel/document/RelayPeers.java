package org.bronzewheel.document;

import java.util.List;

/**
 * The neighbours and the role of one relay.
 *
 * @param neighbours VMs of the routers it announces to
 * @param reader whether it polls the platform continuously
 * @param routers the number of routers in the fleet, itself included
 */
public record RelayPeers(List<String> neighbours, boolean reader, int routers) {
    /** No other router is known, so the relay reads the platform itself. */
    public static final RelayPeers ALONE = new RelayPeers(List.of(), true, 1);
}
