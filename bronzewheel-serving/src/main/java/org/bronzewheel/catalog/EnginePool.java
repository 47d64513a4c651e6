package org.bronzewheel.catalog;

/**
 * The limits of each model engine of a service.
 *
 * @param slots the number of requests in a running batch
 * @param cacheTokens the capacity of the KV cache, in tokens
 */
public record EnginePool(int slots, long cacheTokens) {}
