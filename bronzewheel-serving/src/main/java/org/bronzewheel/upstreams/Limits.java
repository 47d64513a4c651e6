package org.bronzewheel.upstreams;

import java.util.OptionalDouble;

/** Computes with limits that may be absent. */
public final class Limits {
    private Limits() {}

    /**
     * Returns the smaller one of two limits.
     *
     * @param one a limit, empty without one
     * @param other another limit, empty without one
     * @return the limit that satisfies both; empty if there is none
     */
    public static OptionalDouble smaller(OptionalDouble one, OptionalDouble other) {
        if (one.isEmpty() || other.isEmpty()) {
            return one.isEmpty() ? other : one;
        }
        return OptionalDouble.of(Math.min(one.getAsDouble(), other.getAsDouble()));
    }
}
