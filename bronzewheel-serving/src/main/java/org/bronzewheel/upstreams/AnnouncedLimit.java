package org.bronzewheel.upstreams;

import java.util.OptionalDouble;

/**
 * What an answer says of the requests that its upstream takes.
 *
 * @param readable whether it can be read; otherwise what was said before stays in force
 * @param perSecond the requests a second that the upstream takes from all routers together; empty
 *     where the answer names no limit
 */
public record AnnouncedLimit(boolean readable, OptionalDouble perSecond) {
    /** An answer without a limit. */
    public static final AnnouncedLimit NONE = new AnnouncedLimit(true, OptionalDouble.empty());

    /** An answer with a limit that cannot be read. */
    public static final AnnouncedLimit UNREADABLE =
            new AnnouncedLimit(false, OptionalDouble.empty());

    /**
     * Tells whether the answer names a limit.
     *
     * @return whether there is a readable one
     */
    public boolean isPresent() {
        return perSecond.isPresent();
    }

    /**
     * Returns an answer's limit.
     *
     * @param perSecond the requests a second, not negative
     * @return the limit
     */
    public static AnnouncedLimit of(double perSecond) {
        return new AnnouncedLimit(true, OptionalDouble.of(perSecond));
    }
}
