package org.bronzewheel.membership;

/** The observed health of a listed router. */
public enum MemberHealth {
    /** It answers. */
    ALIVE,
    /**
     * It has not answered for a while; requests are forwarded to it only where no other router can
     * serve them.
     */
    SUSPECT,
    /** It is leaving, according to the VM list or to its own announcement. */
    LEAVING
}
