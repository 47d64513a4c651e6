package org.bronzewheel.rules;

import java.util.List;

/**
 * A named sequence of stages.
 *
 * @param name the name, unique among pipelines
 * @param stages one to six stages, run in order
 */
public record Pipeline(String name, List<Stage> stages) {
    /** The maximum number of stages in a pipeline. */
    public static final int MAX_STAGES = 6;

    /**
     * Returns whether the whole pipeline can safely run twice.
     *
     * @return true if every stage is idempotent
     */
    public boolean idempotent() {
        return stages.stream().allMatch(Stage::idempotent);
    }
}
