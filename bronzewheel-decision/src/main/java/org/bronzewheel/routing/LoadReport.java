package org.bronzewheel.routing;

/**
 * The load that an upstream reported.
 *
 * @param upstream the name of the upstream
 * @param inFlight calls that it worked on, of all routers
 * @param queued calls that waited at it, of all routers
 * @param sequence the number of the report, growing
 * @param observedNanos when the load was as reported, by the clock of this router
 */
public record LoadReport(
        String upstream, int inFlight, int queued, long sequence, long observedNanos) {}
