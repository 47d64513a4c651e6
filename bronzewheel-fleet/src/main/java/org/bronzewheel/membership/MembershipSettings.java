package org.bronzewheel.membership;

import org.bronzewheel.document.RelaySettings;

/**
 * The times and limits of membership.
 *
 * @param tickMillis time between ticks, in milliseconds
 * @param probeIntervalMillis time between probes of a target, in milliseconds
 * @param probeTimeoutMillis after this time without an acknowledgement other routers are asked to
 *     probe, in milliseconds; below the interval
 * @param missedProbes consecutive probes without an acknowledgement after which the target is
 *     suspected
 * @param heartbeatMillis time between the heartbeats of a router, in milliseconds
 * @param staleBaseMillis fixed part of the time without a heartbeat after which a router is
 *     suspected, in milliseconds
 * @param stalePerRouterMillis part of that time added per router of the fleet, in milliseconds
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
    /** Defaults for fleets of 1 to 390 routers. */
    public static final MembershipSettings DEFAULT =
            new MembershipSettings(
                    100, 1_000, 400, 3, 5_000, 20_000, 200, 12, RelaySettings.DEFAULT);
}
