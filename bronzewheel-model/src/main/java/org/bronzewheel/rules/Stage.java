package org.bronzewheel.rules;

/**
 * A step of a pipeline.
 *
 * @param name the name, unique in its pipeline
 * @param pool the pool that serves it
 * @param idempotent whether it can safely run twice
 * @param model the model for a model engine, empty for other kinds
 * @param path the HTTP path for a plain service, empty for other kinds
 * @param maxTokens the maximum answer length of a model engine, in tokens, 0 for other kinds
 */
public record Stage(
        String name, String pool, boolean idempotent, String model, String path, int maxTokens) {}
