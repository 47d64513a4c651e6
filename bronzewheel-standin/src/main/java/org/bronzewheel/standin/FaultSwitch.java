package org.bronzewheel.standin;

import java.util.SplittableRandom;

/** The fault switches of one stand-in as they are now, with the seeded generator that draws. */
final class FaultSwitch {
    private static final int HUNDRED_PERCENT = 100;

    private final SplittableRandom random;
    private Faults faults = Faults.NONE;

    FaultSwitch(long seed) {
        this.random = new SplittableRandom(seed);
    }

    synchronized void set(Faults changed) {
        faults = changed;
    }

    synchronized Faults get() {
        return faults;
    }

    synchronized Fate draw() {
        int drawn = random.nextInt(HUNDRED_PERCENT);
        if (faults.hang()) {
            return Fate.HANG;
        }
        int bound = faults.refusePercent();
        if (drawn < bound) {
            return Fate.REFUSE;
        }
        bound += faults.failPercent();
        if (drawn < bound) {
            return Fate.FAIL;
        }
        bound += faults.breakAfterRunPercent();
        if (drawn < bound) {
            return Fate.BREAK_AFTER_RUN;
        }
        bound += faults.truncatePercent();
        if (drawn < bound) {
            return Fate.TRUNCATE;
        }
        bound += faults.wrongEchoPercent();
        return drawn < bound ? Fate.WRONG_ECHO : Fate.ANSWER;
    }
}
