package org.bronzewheel.rules;

import java.util.List;

/**
 * A named sequence of stages.
 *
 * @param name the name, unique among pipelines
 * @param stages one to six stages, run in order
 */
public record Pipeline(String name, List<Stage> stages) {
    /** The longest pipeline in stages. */
    public static final int MAX_STAGES = 6;

    /**
     * Tells whether running the whole pipeline twice does no harm.
     *
     * @return true where each stage is idempotent
     */
    public boolean idempotent() {
        return stages.stream().allMatch(Stage::idempotent);
    }
}
