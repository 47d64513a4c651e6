package org.bronzewheel.execution;

import org.bronzewheel.request.Usage;

/**
 * What a stage of an answered request took.
 *
 * @param name the stage
 * @param upstream the upstream whose answer was used
 * @param attempts attempts made
 * @param elapsedMillis time from its begin to its answer, in milliseconds
 * @param usage what the used attempt consumed
 */
record StageReport(String name, String upstream, int attempts, long elapsedMillis, Usage usage) {}
