package org.bronzewheel.permits;

/** What a permit allows. */
public enum PermitKind {
    /**
     * Starting the stages of a request whose final service has a limit on each of its upstreams.
     * Identified by the name of the service.
     */
    ENTRY,
    /** Sending a request to an upstream with a limit. Identified by the id of the upstream. */
    SEND
}
