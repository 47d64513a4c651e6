package org.bronzewheel.claim;

/** A world with what is left of its scope. */
final class ScopedWorld {
    final ClaimWorld world;
    int claimsMade;
    int drops;
    int duplicates;
    int crashes;
    int advances;
    int handOvers;

    ScopedWorld(ClaimWorld world) {
        this.world = world;
    }

    ScopedWorld copy() {
        ScopedWorld copy = new ScopedWorld(world.copy());
        copy.claimsMade = claimsMade;
        copy.drops = drops;
        copy.duplicates = duplicates;
        copy.crashes = crashes;
        copy.advances = advances;
        copy.handOvers = handOvers;
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
                + handOvers;
    }
}
