package org.bronzewheel.serving;

import java.util.List;
import java.util.Optional;
import org.bronzewheel.upstreams.UpstreamEntry;

/**
 * One attempt of a request at an upstream.
 *
 * @param target the upstream; a different one at the same address must not run the request
 * @param request the request of the caller
 * @param timeoutMillis the time after which the upstream stops working on the request, in
 *     milliseconds
 * @param workspace the workspace of the caller's API key
 * @param urgency the priority at a model engine, 0 first, 9 last; empty for plain services
 * @param inputs the handles of stage results
 * @param resumeAfter the last event the caller has received
 * @param reusesConnection whether an idle connection may be reused; not for requests that run at
 *     most once
 * @param maxConnections the maximum number of connections from this router to the upstream
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
