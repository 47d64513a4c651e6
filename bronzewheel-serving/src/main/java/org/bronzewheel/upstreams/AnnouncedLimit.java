package org.bronzewheel.upstreams;

import java.util.OptionalDouble;

/**
 * The request rate limit in an answer.
 *
 * @param readable whether it can be parsed; otherwise the previous limit stays in force
 * @param perSecond the requests per second that the upstream accepts from all routers together;
 *     empty if the answer has no limit
 */
public record AnnouncedLimit(boolean readable, OptionalDouble perSecond) {
    /** An answer without a limit. */
    public static final AnnouncedLimit NONE = new AnnouncedLimit(true, OptionalDouble.empty());

    /** An answer with a limit that cannot be parsed. */
    public static final AnnouncedLimit UNREADABLE =
            new AnnouncedLimit(false, OptionalDouble.empty());

    /**
     * Returns whether the answer has a limit.
     *
     * @return whether there is one that could be parsed
     */
    public boolean isPresent() {
        return perSecond.isPresent();
    }

    /**
     * Returns an answer's limit.
     *
     * @param perSecond the requests per second, not negative
     * @return the limit
     */
    public static AnnouncedLimit of(double perSecond) {
        return new AnnouncedLimit(true, OptionalDouble.of(perSecond));
    }
}
