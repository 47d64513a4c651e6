package org.bronzewheel.router;

/** The state of a router. */
enum RouterState {
    /** Not all parts work yet. */
    STARTING,
    /** It takes requests. */
    SERVING,
    /** A planned stop has begun. */
    DRAINING,
    /** It has ended. */
    STOPPED
}
