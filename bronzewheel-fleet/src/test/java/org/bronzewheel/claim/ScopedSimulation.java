package org.bronzewheel.claim;

import java.util.Set;
import java.util.TreeSet;

/** A world with what is left of its scope. */
final class ScopedSimulation {
    final ClaimSimulation world;
    int claimsMade;
    int drops;
    int duplicates;
    int crashes;
    int advances;
    int handOvers;
    final Set<String> learned = new TreeSet<>();

    ScopedSimulation(ClaimSimulation world) {
        this.world = world;
    }

    ScopedSimulation copy() {
        ScopedSimulation copy = new ScopedSimulation(world.copy());
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
        return world.fingerprint()
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
