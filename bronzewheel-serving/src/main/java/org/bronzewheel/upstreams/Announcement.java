package org.bronzewheel.upstreams;

import java.util.OptionalLong;

/**
 * What one answer says of the upstream that gave it.
 *
 * @param origin the kind of the answer
 * @param limit what it says of the requests that the upstream takes
 * @param leaving whether it says that the upstream leaves
 * @param pauseMillis the time for which the upstream wants no more requests of this router, in
 *     milliseconds since the answer came; empty where it asks for no pause
 */
public record Announcement(
        Origin origin, AnnouncedLimit limit, boolean leaving, OptionalLong pauseMillis) {
    /** The kinds of answers. */
    public enum Origin {
        /** A success with the upstream's signature. */
        GOOD,
        /** A failure with the upstream's signature. */
        SIGNED_FAILURE,
        /** The upstream states that it did not run the request. */
        NEVER_RAN,
        /** Another upstream answers at the address. */
        MISDIRECTED,
        /** An interim answer, one that nobody waits for, or one without a signature. */
        OTHER
    }

    /** Tells whether the answer says what the upstream takes; only a good one ends a limit. */
    boolean saysLimit() {
        return switch (origin) {
            case GOOD -> limit.readable();
            case SIGNED_FAILURE, NEVER_RAN -> limit.isPresent();
            case MISDIRECTED, OTHER -> false;
        };
    }

    /**
     * Returns a good answer that says nothing but perhaps a limit.
     *
     * @param limit the limit
     * @return the announcement
     */
    public static Announcement good(AnnouncedLimit limit) {
        return new Announcement(Origin.GOOD, limit, false, OptionalLong.empty());
    }
}
