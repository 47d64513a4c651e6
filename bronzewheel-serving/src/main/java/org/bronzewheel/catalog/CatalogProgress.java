package org.bronzewheel.catalog;

/**
 * How far a router is with the published catalog, as it tells its peers.
 *
 * @param epoch the epoch of the platform that it reads, or a negative number if it knows none
 * @param version the version of the catalog that it acts on; 0 if it has none
 * @param settlingMillis how long the platform's responses confirm nothing yet, in milliseconds,
 *     because the router saw the platform return from a copy
 */
public record CatalogProgress(long epoch, long version, long settlingMillis) {}
