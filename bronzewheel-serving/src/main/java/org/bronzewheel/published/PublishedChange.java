package org.bronzewheel.published;

import org.bronzewheel.catalog.Catalog;
import org.bronzewheel.upstreams.UpstreamEntry;

/** A change of the state that the platform publishes. */
public sealed interface PublishedChange {
    /**
     * A new catalog version.
     *
     * @param catalog the catalog
     */
    record CatalogPut(Catalog catalog) implements PublishedChange {}

    /**
     * A new or changed upstream entry.
     *
     * @param entry the entry
     */
    record UpstreamPut(UpstreamEntry entry) implements PublishedChange {}

    /**
     * The removal of an upstream entry.
     *
     * @param id the id of the upstream
     */
    record UpstreamRemoved(String id) implements PublishedChange {}

    /**
     * A request that nothing more is sent to the upstreams of a failure domain.
     *
     * @param domain the failure domain
     */
    record DomainEvacuated(String domain) implements PublishedChange {}

    /**
     * The end of the evacuation of a failure domain.
     *
     * @param domain the failure domain
     */
    record DomainReturned(String domain) implements PublishedChange {}

    /**
     * An entry that cannot be parsed. The previous configuration stays in use; the removal of an
     * upstream is a change of its own.
     *
     * @param name the key under which it is published
     * @param reason why parsing failed
     */
    record Unreadable(String name, String reason) implements PublishedChange {}
}
