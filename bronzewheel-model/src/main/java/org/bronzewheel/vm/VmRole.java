package org.bronzewheel.vm;

/** What a VM is for. */
public enum VmRole {
    /** Runs a router. */
    ROUTER,
    /** Runs an upstream. */
    UPSTREAM
}
