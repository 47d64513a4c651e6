package org.bronzewheel.standin;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A call for a completion.
 *
 * @param headers its headers
 * @param attemptId the attempt
 * @param model the model
 * @param prompt the prompt
 * @param maxTokens the longest answer in tokens
 * @param priority the order of service, 0 first
 */
record CompletionCall(
        CallHeaders headers,
        String attemptId,
        String model,
        String prompt,
        int maxTokens,
        int priority) {
    /** Returns the call, or null where a required field is missing. */
    static CompletionCall of(JsonNode body, CallHeaders headers) {
        String attemptId = body.path("request_id").asText(headers.attemptId());
        String model = body.path("model").asText("");
        int maxTokens = body.path("max_tokens").asInt(0);
        if (attemptId.isEmpty() || model.isEmpty() || maxTokens < 1 || !body.has("prompt")) {
            return null;
        }
        CallHeaders named =
                new CallHeaders(
                        attemptId,
                        headers.workspace().isEmpty()
                                ? body.path("user").asText("")
                                : headers.workspace(),
                        headers.priority(),
                        headers.idempotencyKey());
        return new CompletionCall(
                named,
                attemptId,
                model,
                body.path("prompt").asText(),
                maxTokens,
                body.path("priority").asInt(headers.priority()));
    }
}
