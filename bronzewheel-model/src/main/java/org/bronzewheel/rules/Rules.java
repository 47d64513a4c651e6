package org.bronzewheel.rules;

import java.util.List;
import java.util.Optional;

/**
 * The operators' rules for requests.
 *
 * @param retentionMillis the maximum age of an idempotency key that contains its creation time, in
 *     milliseconds; older keys are refused
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param requestClasses classes of requests
 * @param pipelines pipelines that callers may use
 */
public record Rules(
        long retentionMillis,
        int maxBodyBytes,
        List<RequestClass> requestClasses,
        List<Pipeline> pipelines) {
    /**
     * Finds a request class by name.
     *
     * @param name the name
     * @return the request class, or empty
     */
    public Optional<RequestClass> requestClass(String name) {
        return requestClasses.stream().filter(c -> c.name().equals(name)).findFirst();
    }

    /**
     * Finds a pipeline by name.
     *
     * @param name the name
     * @return the pipeline, or empty
     */
    public Optional<Pipeline> pipeline(String name) {
        return pipelines.stream().filter(p -> p.name().equals(name)).findFirst();
    }
}
