package org.bronzewheel.published;

import org.bronzewheel.catalog.Catalog;
import org.bronzewheel.upstreams.UpstreamEntry;

/** One thing that the platform published, or the removal of one. */
public sealed interface PublishedChange {
    /**
     * A catalog.
     *
     * @param catalog the catalog
     */
    record CatalogPut(Catalog catalog) implements PublishedChange {}

    /**
     * A new or changed entry of an upstream.
     *
     * @param entry the entry
     */
    record UpstreamPut(UpstreamEntry entry) implements PublishedChange {}

    /**
     * The removal of the entry of an upstream.
     *
     * @param id the id of the upstream
     */
    record UpstreamRemoved(String id) implements PublishedChange {}

    /**
     * Something that cannot be read; what was published before stays in force.
     *
     * @param name where it was published
     * @param reason what is wrong with it
     */
    record Unreadable(String name, String reason) implements PublishedChange {}
}
