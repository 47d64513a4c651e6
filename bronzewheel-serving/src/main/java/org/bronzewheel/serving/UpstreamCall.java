package org.bronzewheel.serving;

import java.util.List;
import java.util.Optional;
import org.bronzewheel.upstreams.UpstreamEntry;

/**
 * One send of a request to an upstream.
 *
 * @param target the upstream; another one at its address must not run the request
 * @param request the request of the caller
 * @param timeoutMillis the time after which the upstream stops work, in milliseconds
 * @param workspace the workspace of the caller's key
 * @param urgency the rank at a model engine, 0 first, 9 last; empty for plain services
 * @param inputs the handles of stage results
 * @param resumeAfter the last event that the caller has
 * @param reusesConnection whether a kept connection is safe enough
 * @param maxConnections the connections to the upstream that this router may have
 */
public record UpstreamCall(
        UpstreamEntry target,
        CallerRequest request,
        long timeoutMillis,
        Optional<String> workspace,
        Optional<Integer> urgency,
        List<String> inputs,
        Optional<Long> resumeAfter,
        boolean reusesConnection,
        int maxConnections) {}
