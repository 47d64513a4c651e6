package org.bronzewheel.cost;

import org.bronzewheel.request.Usage;

/**
 * The accumulated cost of one stage, workspace and kind.
 *
 * @param pipeline the pipeline
 * @param stage the stage
 * @param workspace the workspace
 * @param kind the kind of cost
 * @param usage the total usage
 * @param calls the number of calls
 */
public record CostEntry(
        String pipeline, String stage, String workspace, CostKind kind, Usage usage, long calls) {}
