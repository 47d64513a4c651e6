package org.bronzewheel.measure;

/** A way in which routers share the upstreams of stage services. */
enum StageVariant {
    /** Each router fills calls with its own pieces only and sends them where it likes. */
    ALONE,
    /** Each upstream is one router's for half a second, in turn. */
    TURNS,
    /** Each service has one owner among the routers, which fills calls for all of them. */
    OWNER,
    /**
     * As the former, and workspaces have different priorities, so that the owner delays and sheds
     * requests by their cost to callers.
     */
    OWNER_SHEDS,
    /** As {@link #OWNER}, and the owner of most services dies in the middle. */
    OWNER_DIES
}
