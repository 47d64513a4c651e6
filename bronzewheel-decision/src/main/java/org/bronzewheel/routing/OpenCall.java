package org.bronzewheel.routing;

import org.bronzewheel.inventory.Upstream;

/**
 * A call to a worker that has not ended.
 *
 * @param upstream the worker
 * @param startNanos when the call started
 * @param probe whether the call probes an ejected worker
 */
public record OpenCall(Upstream upstream, long startNanos, boolean probe) {}
