package org.bronzewheel.upstreams;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a router tells others of an upstream's announcements. Pauses are not told: an upstream asks
 * each router for its own.
 *
 * @param upstreamId the upstream
 * @param startedMillis when the life of the upstream began that said it, in milliseconds since
 *     1970; 0 where the upstream does not say
 * @param limit what it said last of the requests that it takes; empty where it never named a limit
 * @param leavingHeardMillis when it said that it leaves, in milliseconds of the steady clock; empty
 *     where it did not
 */
public record PeerStatement(
        String upstreamId,
        long startedMillis,
        Optional<LimitStatement> limit,
        OptionalLong leavingHeardMillis) {}
