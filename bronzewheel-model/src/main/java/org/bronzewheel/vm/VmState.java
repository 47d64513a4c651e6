package org.bronzewheel.vm;

/** The published state of a VM. */
public enum VmState {
    /** In service. */
    LIVE,
    /** Leaving: no new work. */
    LEAVING
}
