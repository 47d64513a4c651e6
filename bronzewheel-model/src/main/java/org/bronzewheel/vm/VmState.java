package org.bronzewheel.vm;

/** The published state of a VM. */
public enum VmState {
    /** In service. */
    LIVE,
    /** About to leave; gets no new work. */
    LEAVING
}
