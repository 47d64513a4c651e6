package org.bronzewheel.membership;

/** The presence of a VM in the newest VM list. */
public enum VmPresence {
    /** No list is known yet. */
    UNKNOWN,
    /** It is listed as live. */
    LIVE,
    /** It is listed as leaving: no new work. */
    LEAVING,
    /** It is not listed: it was removed, or the list does not yet contain a new VM. */
    ABSENT
}
