package org.bronzewheel.claim;

import org.bronzewheel.transport.Peer;

/** A message in flight. */
record InFlight(Peer from, String toVmId, ClaimMessage message) {
    @Override
    public String toString() {
        return from.vmId() + "." + from.incarnation() + "->" + toVmId + " " + message;
    }
}
