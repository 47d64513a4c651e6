package org.bronzewheel.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import org.bronzewheel.request.AttemptId;
import org.bronzewheel.request.Usage;

/**
 * The whole answer of one attempt.
 *
 * @param attemptId as echoed by the upstream
 * @param output the input of the next stage
 * @param usage what the attempt consumed
 * @param leaving whether the upstream said that it is leaving
 */
public record StageAnswer(AttemptId attemptId, JsonNode output, Usage usage, boolean leaving) {}
