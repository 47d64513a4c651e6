package org.bronzewheel.membership;

import org.bronzewheel.document.RelaySettings;

/**
 * The times and limits of membership.
 *
 * @param tickMillis time between ticks, in milliseconds
 * @param probeIntervalMillis time between probes of a target, in milliseconds
 * @param probeTimeoutMillis after this time without an acknowledgement other routers are asked to
 *     probe, in milliseconds; below the interval
 * @param missedProbes probes without any acknowledgement, one after the other, that make a suspect
 * @param heartbeatMillis time between the signs of life of a router, in milliseconds
 * @param staleBaseMillis the part of the longest time without a sign of life that does not depend
 *     on the size of the fleet, in milliseconds
 * @param stalePerRouterMillis the part for each router, in milliseconds
 * @param statesPerMessage states of members in each message, at most
 * @param relay the times and limits of the relay of the VM list
 */
public record MembershipSettings(
        long tickMillis,
        long probeIntervalMillis,
        long probeTimeoutMillis,
        int missedProbes,
        long heartbeatMillis,
        long staleBaseMillis,
        long stalePerRouterMillis,
        int statesPerMessage,
        RelaySettings relay) {
    /** Values that fit fleets of 1 to 390 routers. */
    public static final MembershipSettings DEFAULT =
            new MembershipSettings(
                    100, 1_000, 400, 3, 5_000, 20_000, 200, 12, RelaySettings.DEFAULT);
}
