package org.bronzewheel.measure;

import java.util.Locale;

/**
 * One run of an experiment.
 *
 * @param profile the deployment
 * @param variant the policies
 * @param load the load relative to capacity
 * @param fault the fault
 */
record Case(Profile profile, Variant variant, double load, Fault fault) {
    Tally run(long seed) {
        return new World(profile, variant, load, fault, seed).run();
    }

    String label() {
        return String.format(
                Locale.ROOT, "%s %s %.1f %s", profile.name(), variant.name(), load, fault);
    }
}
