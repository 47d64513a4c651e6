package org.bronzewheel.measure;

/** A way in which routers share the upstreams of stage services. */
enum StageVariant {
    /** Each router fills calls with its own pieces only and sends them where it likes. */
    ALONE,
    /** Each upstream is one router's for half a second, in turn. */
    TURNS,
    /** Each service has one owner among the routers, which fills calls for all of them. */
    OWNER,
    /** As the former, and the owner of most services dies in the middle. */
    OWNER_DIES
}
