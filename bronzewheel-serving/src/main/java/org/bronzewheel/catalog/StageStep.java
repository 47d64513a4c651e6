package org.bronzewheel.catalog;

import java.util.List;

/**
 * A stage that must complete before the request can run.
 *
 * @param service the service that runs the stage
 * @param after the indices of the stages that it takes its inputs from
 * @param resultBytes the approximate size of one result, in bytes
 */
public record StageStep(String service, List<Integer> after, long resultBytes) {}
