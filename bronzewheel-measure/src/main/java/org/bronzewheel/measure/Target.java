package org.bronzewheel.measure;

/**
 * A target with what was measured.
 *
 * @param name what is measured, and where
 * @param measured the figure
 * @param bound the bound that was set beforehand
 * @param met whether the figure keeps the bound
 */
public record Target(String name, double measured, double bound, boolean met) {
    static Target atLeast(String name, double measured, double bound) {
        return new Target(name + " at least", measured, bound, measured >= bound);
    }

    static Target atMost(String name, double measured, double bound) {
        return new Target(name + " at most", measured, bound, measured <= bound);
    }
}
