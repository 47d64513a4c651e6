package org.bronzewheel.upstream;

import java.util.List;

/**
 * The cache events of an engine after a known one.
 *
 * @param events in the order of their sequence
 * @param gap whether events before these were lost
 */
public record CacheEvents(List<CacheEvent> events, boolean gap) {}
