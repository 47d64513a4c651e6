package org.bronzewheel.rules;

import java.util.List;
import java.util.Optional;

/**
 * The operators' rules.
 *
 * @param retentionMillis how old an idempotency key with its own time may be, in milliseconds; an
 *     older one is refused
 * @param maxBodyBytes the largest body of a request, in bytes
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
