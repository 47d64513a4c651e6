package org.bronzewheel.claim;

import org.bronzewheel.transport.Peer;

/** A message on its way. */
record InFlight(Peer from, String toVmId, ClaimMessage message) {
    @Override
    public String toString() {
        return from.vmId() + "." + from.incarnation() + "->" + toVmId + " " + message;
    }
}
