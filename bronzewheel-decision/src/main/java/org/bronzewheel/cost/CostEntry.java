package org.bronzewheel.cost;

import org.bronzewheel.request.Usage;

/**
 * A line of the cost totals.
 *
 * @param pipeline the pipeline
 * @param stage the stage
 * @param workspace the workspace
 * @param kind why the cost arose
 * @param usage the sum
 * @param calls the number of calls
 */
public record CostEntry(
        String pipeline, String stage, String workspace, CostKind kind, Usage usage, long calls) {}
