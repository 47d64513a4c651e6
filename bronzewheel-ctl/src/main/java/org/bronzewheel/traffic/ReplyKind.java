package org.bronzewheel.traffic;

/** How far one send of a request got, as its caller sees it. */
public enum ReplyKind {
    /** The connection was refused; nothing was sent. */
    NOT_CONNECTED,
    /** A whole reply with an outcome arrived. */
    COMPLETE,
    /** The connection broke before the reply was whole. */
    BROKEN,
    /** The connection stayed open and no whole reply arrived in time. */
    SILENT
}
