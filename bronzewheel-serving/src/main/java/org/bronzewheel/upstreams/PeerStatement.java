package org.bronzewheel.upstreams;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * The announcements of an upstream as one router sends them to others. Pauses are not included, as
 * an upstream asks each router for its own.
 *
 * @param upstreamId the upstream
 * @param startedMillis the start time of the upstream process, in milliseconds since 1970; 0 if
 *     unknown
 * @param limit its latest limit; empty if it never announced one
 * @param leavingHeardMillis when it announced that it is leaving, in milliseconds of the steady
 *     clock; empty if it did not
 */
public record PeerStatement(
        String upstreamId,
        long startedMillis,
        Optional<LimitStatement> limit,
        OptionalLong leavingHeardMillis) {}
