package org.bronzewheel.permits;

/** What a permit allows. */
public enum PermitKind {
    /**
     * A request that ends at a service may begin its stages, where all upstreams of the service
     * limit what they take; by the name of the service.
     */
    ENTRY,
    /** A request may be sent to an upstream that limits what it takes; by the upstream's id. */
    SEND
}
