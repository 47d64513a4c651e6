package org.bronzewheel.configuration;

import java.util.HashSet;
import java.util.Set;
import java.util.regex.Pattern;

/** Checks that the validators of both files share. */
final class Checks {
    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");

    private final Report report;

    Checks(Report report) {
        this.report = report;
    }

    Unique unique(String what) {
        return new Unique(what);
    }

    void range(String pointer, long value, long least, long most) {
        if (value < least || value > most) {
            report.violation(pointer, "a whole number from " + least + " to " + most);
        }
    }

    void known(String pointer, String name, Set<String> names, String what) {
        if (!names.contains(name)) {
            report.violation(pointer, "the name of a " + what + " in the inventory");
        }
    }

    void require(boolean holds, String pointer, String expected) {
        if (!holds) {
            report.violation(pointer, expected);
        }
    }

    /** The names of one kind that were seen so far. */
    final class Unique {
        private final String what;
        private final Set<String> seen = new HashSet<>();

        private Unique(String what) {
            this.what = what;
        }

        void name(String pointer, String name) {
            if (!NAME.matcher(name).matches()) {
                report.violation(
                        pointer, "1 to 63 lower-case letters, digits or hyphens as " + what);
            } else if (!seen.add(name)) {
                report.violation(pointer, "a " + what + " that is not used twice");
            }
        }
    }
}
