package org.bronzewheel.traffic;

import java.util.List;

/**
 * What a request brought its callers.
 *
 * @param request the request
 * @param lines one line of sends, or two for a request that was sent to two routers at once
 */
public record RequestResult(PlannedRequest request, List<SendLine> lines) {}
