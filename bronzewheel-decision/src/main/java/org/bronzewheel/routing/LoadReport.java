package org.bronzewheel.routing;

/**
 * A load report of an upstream.
 *
 * @param upstream the name of the upstream
 * @param inFlight the number of calls in progress, of all routers
 * @param queued the number of calls queued at the upstream, of all routers
 * @param sequence the increasing sequence number of the report
 * @param observedNanos the time at which the load was observed, on the clock of this router
 */
public record LoadReport(
        String upstream, int inFlight, int queued, long sequence, long observedNanos) {}
