package org.bronzewheel.claim;

import java.util.Set;
import java.util.TreeSet;

/** A simulation with the numbers of events that its scope limits. */
final class ScopedSimulation {
    final ClaimSimulation simulation;
    int claimsMade;
    int drops;
    int duplicates;
    int crashes;
    int advances;
    int handOvers;
    final Set<String> learned = new TreeSet<>();

    ScopedSimulation(ClaimSimulation simulation) {
        this.simulation = simulation;
    }

    ScopedSimulation copy() {
        ScopedSimulation copy = new ScopedSimulation(simulation.copy());
        copy.claimsMade = claimsMade;
        copy.drops = drops;
        copy.duplicates = duplicates;
        copy.crashes = crashes;
        copy.advances = advances;
        copy.handOvers = handOvers;
        copy.learned.addAll(learned);
        return copy;
    }

    String fingerprint() {
        return simulation.fingerprint()
                + claimsMade
                + ","
                + drops
                + ","
                + duplicates
                + ","
                + crashes
                + ","
                + advances
                + ","
                + handOvers
                + learned;
    }
}
