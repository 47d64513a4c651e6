package org.bronzewheel.catalog;

import java.util.List;

/**
 * A stage whose results a request needs before it can run.
 *
 * @param service the stage service that makes the results
 * @param after the indices of the stages whose results are its inputs
 * @param resultBytes the approximate size of one result, in bytes
 */
public record StageStep(String service, List<Integer> after, long resultBytes) {}
