package org.bronzewheel.document;

import java.util.List;

/**
 * The part of the fleet that one relay works with.
 *
 * @param neighbours VMs of the routers it announces to
 * @param reader whether it watches the platform
 * @param routers the number of routers in the fleet, itself included
 */
public record RelayPeers(List<String> neighbours, boolean reader, int routers) {
    /** No other router is known; the relay reads by itself. */
    public static final RelayPeers ALONE = new RelayPeers(List.of(), true, 1);
}
