package org.bronzewheel.execution;

import com.fasterxml.jackson.databind.JsonNode;
import io.opentelemetry.context.Context;

/**
 * What a caller asks for.
 *
 * @param pipeline the name of the pipeline
 * @param requestClass the name of the request class
 * @param workspace the name of the workspace
 * @param idempotencyKey marks repeated sends, empty for none
 * @param input the input of the first stage
 * @param streamed whether the caller reads the text while it is generated
 * @param trace the trace that the caller's headers name
 */
public record PipelineRequest(
        String pipeline,
        String requestClass,
        String workspace,
        String idempotencyKey,
        JsonNode input,
        boolean streamed,
        Context trace) {
    /**
     * Tells whether repeated sends join the first.
     *
     * @return true where the caller gave an idempotency key
     */
    public boolean keyed() {
        return !idempotencyKey.isEmpty();
    }

    /** Returns a digest of all that must be equal in repeated sends. */
    String fingerprint() {
        return Digests.sha256(pipeline + "\n" + requestClass + "\n" + input);
    }
}
