package org.bronzewheel.stages;

import java.util.List;
import java.util.Optional;

/**
 * One piece in a call.
 *
 * @param requestId the id of the caller's attempt
 * @param stage the index of the stage
 * @param piece the zero-based index of the piece
 * @param remainingMillis the time left until the deadline, in milliseconds
 * @param key the key, for a stage without inputs
 * @param inputs the handles of all input results
 */
public record StageItem(
        String requestId,
        int stage,
        int piece,
        long remainingMillis,
        Optional<String> key,
        List<String> inputs) {}
