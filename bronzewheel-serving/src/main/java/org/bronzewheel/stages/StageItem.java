package org.bronzewheel.stages;

import java.util.List;
import java.util.Optional;

/**
 * One piece in a call.
 *
 * @param requestId the id of the caller's attempt
 * @param stage the index of the stage
 * @param piece the number of the piece, from 0
 * @param remainingMillis the time after which the result is of no use, in milliseconds
 * @param key the key, for a stage without inputs
 * @param inputs the handles of all results that the piece needs
 */
public record StageItem(
        String requestId,
        int stage,
        int piece,
        long remainingMillis,
        Optional<String> key,
        List<String> inputs) {}
