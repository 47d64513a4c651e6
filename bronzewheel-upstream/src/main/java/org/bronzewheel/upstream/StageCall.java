package org.bronzewheel.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import org.bronzewheel.inventory.Pool;
import org.bronzewheel.inventory.Upstream;
import org.bronzewheel.request.AttemptId;
import org.bronzewheel.rules.Stage;

/**
 * One attempt of one stage at one upstream.
 *
 * @param attemptId echoed by the upstream
 * @param stage the stage
 * @param pool the pool of the upstream
 * @param upstream the receiver
 * @param workspace the workspace of the caller
 * @param priority the priority of the request class, 0 first
 * @param idempotencyKey the key under which an upstream that checks keys runs the call once, empty
 *     for none
 * @param permit asked immediately before the bytes leave
 * @param input the output of the previous stage, or the caller's input
 * @param headers trace context to pass on
 */
public record StageCall(
        AttemptId attemptId,
        Stage stage,
        Pool pool,
        Upstream upstream,
        String workspace,
        int priority,
        String idempotencyKey,
        SendPermit permit,
        JsonNode input,
        Map<String, String> headers) {}
