package org.bronzewheel.routing;

import org.bronzewheel.inventory.Upstream;

/**
 * A call in progress at a worker.
 *
 * @param upstream the worker
 * @param startNanos the start time of the call
 * @param probe whether the call probes an ejected worker
 */
public record OpenCall(Upstream upstream, long startNanos, boolean probe) {}
