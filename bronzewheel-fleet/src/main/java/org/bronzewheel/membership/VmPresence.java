package org.bronzewheel.membership;

/** The standing of a VM in the newest list. */
public enum VmPresence {
    /** No list is known yet. */
    UNKNOWN,
    /** It is listed as live. */
    LIVE,
    /** It is listed as leaving: no new work. */
    LEAVING,
    /** It is not listed: it has gone, or the list lags behind a new VM. */
    ABSENT
}
