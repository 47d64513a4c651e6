package org.bronzewheel.upstreams;

import java.util.OptionalDouble;

/**
 * What an upstream said last of the requests that it takes.
 *
 * @param perSecond the requests a second that it takes from all routers together; empty where it
 *     names no limit
 * @param heardMillis when an answer said so, in milliseconds of the steady clock
 */
public record LimitStatement(OptionalDouble perSecond, long heardMillis) {}
