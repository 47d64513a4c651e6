package org.bronzewheel.vm;

/** The role of a VM. */
public enum VmRole {
    /** Runs a router. */
    ROUTER,
    /** Runs an upstream. */
    UPSTREAM
}
