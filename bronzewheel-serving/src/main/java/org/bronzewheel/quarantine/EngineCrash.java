package org.bronzewheel.quarantine;

/**
 * The end of one process lifetime of a model engine, as evidence against a prompt part that waited
 * there.
 *
 * @param life the process lifetime; the crash counts once, however many routers report it
 * @param atMillis when a router first noticed it, in milliseconds of the steady clock
 * @param refuted whether an engine survived a prompt with the part after the crash
 */
record EngineCrash(String life, long atMillis, boolean refuted) {
    /** Combines two reports of the same crash; the order of the reports does not matter. */
    EngineCrash merge(EngineCrash other) {
        return new EngineCrash(life, Math.min(atMillis, other.atMillis), refuted || other.refuted);
    }

    EngineCrash refute() {
        return new EngineCrash(life, atMillis, true);
    }
}
