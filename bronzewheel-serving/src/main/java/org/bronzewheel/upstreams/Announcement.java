package org.bronzewheel.upstreams;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What one answer announces about the upstream that sent it.
 *
 * @param origin the kind of the answer
 * @param limit the request rate limit that it announces
 * @param leaving whether it announces that the upstream is shutting down
 * @param pauseMillis the time for which the upstream asks this router to send no requests, in
 *     milliseconds from the arrival of the answer; empty if it asks for no pause
 * @param load the load that the upstream reports
 */
public record Announcement(
        Origin origin,
        AnnouncedLimit limit,
        boolean leaving,
        OptionalLong pauseMillis,
        Optional<ReportedLoad> load) {
    /**
     * Creates an announcement without a reported load.
     *
     * @param origin the kind of the answer
     * @param limit the request rate limit that it announces
     * @param leaving whether it announces that the upstream is shutting down
     * @param pauseMillis the pause that it asks for, in milliseconds
     */
    public Announcement(
            Origin origin, AnnouncedLimit limit, boolean leaving, OptionalLong pauseMillis) {
        this(origin, limit, leaving, pauseMillis, Optional.empty());
    }

    /** The kinds of answers. */
    public enum Origin {
        /** A success that carries the upstream's signature. */
        GOOD,
        /** A failure that carries the upstream's signature. */
        SIGNED_FAILURE,
        /** The upstream states that it did not run the request. */
        NEVER_RAN,
        /** An answer without an id that may be a late copy of an earlier one. */
        UNIDENTIFIED,
        /** Another upstream answers at the address. */
        MISDIRECTED,
        /** An interim answer, one that no caller waits for any more, or one without a signature. */
        OTHER
    }

    /** Returns whether the answer replaces the known limit; only a good answer can remove one. */
    boolean updatesLimit() {
        return switch (origin) {
            case GOOD -> limit.readable();
            case SIGNED_FAILURE, NEVER_RAN, UNIDENTIFIED -> limit.isPresent();
            case MISDIRECTED, OTHER -> false;
        };
    }

    /**
     * Returns whether the answer tells the present load; a late copy of an earlier answer does not.
     */
    boolean updatesLoad() {
        return switch (origin) {
            case GOOD, SIGNED_FAILURE, NEVER_RAN -> true;
            case UNIDENTIFIED, MISDIRECTED, OTHER -> false;
        };
    }

    /**
     * Returns the announcement of a good answer that carries at most a limit.
     *
     * @param limit the limit
     * @return the announcement
     */
    public static Announcement good(AnnouncedLimit limit) {
        return new Announcement(Origin.GOOD, limit, false, OptionalLong.empty());
    }
}
