package org.bronzewheel.upstreams;

import java.util.OptionalDouble;

/**
 * The latest request rate limit of an upstream, with the time of its receipt.
 *
 * @param perSecond the requests per second that it accepts from all routers together; empty if it
 *     announced that there is no limit
 * @param heardMillis when the answer was received, in milliseconds of the steady clock
 */
public record LimitStatement(OptionalDouble perSecond, long heardMillis) {}
