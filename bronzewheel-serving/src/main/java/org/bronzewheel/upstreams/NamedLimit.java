package org.bronzewheel.upstreams;

import java.util.OptionalDouble;

/**
 * What an answer says of the requests that its upstream takes.
 *
 * @param readable whether it can be read; otherwise what was said before stays in force
 * @param perSecond the requests a second that the upstream takes from all routers together; empty
 *     where the answer names no limit
 */
public record NamedLimit(boolean readable, OptionalDouble perSecond) {
    /** An answer without a limit. */
    public static final NamedLimit NONE = new NamedLimit(true, OptionalDouble.empty());

    /** An answer with a limit that cannot be read. */
    public static final NamedLimit UNREADABLE = new NamedLimit(false, OptionalDouble.empty());

    /**
     * Tells whether the answer names a limit.
     *
     * @return whether there is a readable one
     */
    public boolean isNamed() {
        return perSecond.isPresent();
    }

    /**
     * Returns an answer's limit.
     *
     * @param perSecond the requests a second, not negative
     * @return the limit
     */
    public static NamedLimit of(double perSecond) {
        return new NamedLimit(true, OptionalDouble.of(perSecond));
    }
}
