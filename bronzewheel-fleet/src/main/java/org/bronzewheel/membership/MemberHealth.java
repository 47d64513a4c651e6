package org.bronzewheel.membership;

/** What is observed of a listed router. */
public enum MemberHealth {
    /** It answers. */
    ALIVE,
    /** It has not answered for a while; it gets no forwarded requests where another may serve. */
    SUSPECT,
    /** It is leaving, by the list or by its own word. */
    LEAVING
}
