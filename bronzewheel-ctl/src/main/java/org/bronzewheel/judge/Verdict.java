package org.bronzewheel.judge;

import java.util.List;
import java.util.Map;

/**
 * What became of a load.
 *
 * @param total counts over all request classes
 * @param byClass counts by name of the request class, in order of the rules
 * @param cost cost by name of the stage
 * @param violations each broken promise
 */
public record Verdict(
        ClassCounts total,
        Map<String, ClassCounts> byClass,
        Map<String, StageCost> cost,
        List<Violation> violations) {}
