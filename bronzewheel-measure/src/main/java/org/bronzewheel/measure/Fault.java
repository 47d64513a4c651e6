package org.bronzewheel.measure;

/** A fault that an experiment brings about. */
enum Fault {
    /** No fault. */
    NONE,
    /** One model engine at a tenth of its speed. */
    SLOW_WORKER,
    /** One model engine takes calls and never answers. */
    HUNG_WORKER,
    /** Half of the model engines refuse connections. */
    HALF_POOL,
    /** Load 2 for some seconds. */
    BURST,
    /** Load reports come late and half of them get lost. */
    BAD_REPORTS,
    /** A router dies. */
    ROUTER_KILLED,
    /** A failure domain is cut off from the others and from clients. */
    DOMAIN_CUT
}
