package org.bronzewheel.upstream;

/**
 * A change of an engine's prefix cache.
 *
 * @param sequence grows by one with each event
 * @param stored true for a prefix that was stored, false for one that was evicted
 * @param prefixHash the digest of the prefix
 */
public record CacheEvent(long sequence, boolean stored, String prefixHash) {}
