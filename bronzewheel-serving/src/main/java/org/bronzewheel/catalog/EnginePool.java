package org.bronzewheel.catalog;

/**
 * The limits of each model engine of a service.
 *
 * @param slots the requests that run in one batch
 * @param cacheTokens the tokens that its memory holds
 */
public record EnginePool(int slots, long cacheTokens) {}
