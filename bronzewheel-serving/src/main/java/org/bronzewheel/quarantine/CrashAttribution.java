package org.bronzewheel.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Attributes engine crashes to prompt parts. Parts that no engine has survived are blamed first,
 * the one with the most crashes before the others, and crashes that a blamed part explains count
 * against no other.
 */
final class CrashAttribution {
    private static final int MIN_CRASHES = 3;

    /** One more, as the part was harmless at some time. */
    private static final int MIN_CRASHES_AFTER_SURVIVAL = 4;

    /** Engines that end within this time may have ended for one reason outside of any prompt. */
    private static final long SIMULTANEOUS_MILLIS = 250;

    private CrashAttribution() {}

    /**
     * The crashes attributed to one part.
     *
     * @param count their number, simultaneous ones counted once
     * @param newestMillis when the newest one was noticed
     */
    record Blame(int count, long newestMillis) {}

    /** Returns the blamed parts. */
    static Map<String, Blame> blamedParts(Collection<SuspectedPart> suspects) {
        Map<String, Blame> blamed = new LinkedHashMap<>();
        List<SuspectedPart> culprits = new ArrayList<>();
        List<SuspectedPart> found = mostLikely(suspects, blamed, culprits);
        while (!found.isEmpty()) {
            for (SuspectedPart part : found) {
                blamed.put(part.id(), blame(part, culprits));
            }
            culprits.addAll(found);
            found = mostLikely(suspects, blamed, culprits);
        }
        return blamed;
    }

    /**
     * Returns the parts with the most crashes among those that no engine has survived, or among the
     * others if there are none.
     */
    private static List<SuspectedPart> mostLikely(
            Collection<SuspectedPart> suspects,
            Map<String, Blame> blamed,
            List<SuspectedPart> culprits) {
        List<SuspectedPart> best = new ArrayList<>();
        int most = 0;
        boolean survived = true;
        for (SuspectedPart part : suspects) {
            int count = blame(part, culprits).count();
            if (blamed.containsKey(part.id())
                    || count < minCrashes(part)
                    || (part.hasSurvived() && !survived)) {
                continue;
            }
            if (count > most || part.hasSurvived() != survived) {
                best.clear();
                most = count;
                survived = part.hasSurvived();
            }
            if (count == most) {
                best.add(part);
            }
        }
        return best;
    }

    private static int minCrashes(SuspectedPart part) {
        return part.hasSurvived() ? MIN_CRASHES_AFTER_SURVIVAL : MIN_CRASHES;
    }

    /** Returns the crashes of a part that are not explained by another one. */
    static Blame blame(SuspectedPart part, List<SuspectedPart> culprits) {
        int count = 0;
        long lastMillis = Long.MIN_VALUE / 2;
        for (EngineCrash crash : part.standing()) {
            if (culprits.stream().anyMatch(culprit -> culprit.explains(crash))) {
                continue;
            }
            if (crash.atMillis() - lastMillis >= SIMULTANEOUS_MILLIS) {
                count++;
                lastMillis = crash.atMillis();
            }
        }
        return new Blame(count, lastMillis);
    }
}
