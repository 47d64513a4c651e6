package org.bronzewheel.quarantine;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The evidence about one prompt part: a bounded set of crashes, which grows the same way in
 * whatever order the reports arrive.
 */
final class SuspectedPart {
    static final int MAX_CRASHES = 8;

    private static final Comparator<EngineCrash> LEAST_USEFUL_FIRST =
            Comparator.comparing((EngineCrash crash) -> !crash.refuted())
                    .thenComparingLong(EngineCrash::atMillis);

    private final String id;
    private final Map<String, EngineCrash> crashes = new HashMap<>();
    private List<EngineCrash> standing = List.of();
    private boolean survived;
    private long changedMillis;

    SuspectedPart(String id, long nowMillis) {
        this.id = id;
        this.changedMillis = nowMillis;
    }

    String id() {
        return id;
    }

    /** Returns whether an engine has survived a prompt with the part. */
    boolean hasSurvived() {
        return survived;
    }

    /** Returns when the evidence last changed. */
    long changedMillis() {
        return changedMillis;
    }

    /** Adds a report; returns whether it says something new. */
    boolean add(EngineCrash crash, long nowMillis) {
        EngineCrash known = crashes.get(crash.life());
        crashes.merge(crash.life(), crash, EngineCrash::merge);
        if (crashes.size() > MAX_CRASHES) {
            EngineCrash dropped = crashes.values().stream().min(LEAST_USEFUL_FIRST).orElseThrow();
            crashes.remove(dropped.life());
            if (dropped.life().equals(crash.life())) {
                updateStanding();
                return false;
            }
        }
        updateStanding();
        return changed(known == null || (crash.refuted() && !known.refuted()), nowMillis);
    }

    /** Records that the part has been survived at some time; returns whether that is new. */
    boolean markSurvived(long nowMillis) {
        boolean isNew = !survived;
        survived = true;
        return changed(isNew, nowMillis);
    }

    /** Refutes the crashes before a time at which an engine survived the part. */
    boolean refuteBefore(long survivedMillis, long nowMillis) {
        boolean refuted = false;
        for (EngineCrash crash : List.copyOf(crashes.values())) {
            if (!crash.refuted() && crash.atMillis() < survivedMillis) {
                crashes.put(crash.life(), crash.refute());
                refuted = true;
            }
        }
        updateStanding();
        return changed(refuted, nowMillis);
    }

    private boolean changed(boolean isNew, long nowMillis) {
        if (isNew) {
            changedMillis = nowMillis;
        }
        return isNew;
    }

    /** Removes the crashes before a time, refuted ones before a later time. */
    boolean removeBefore(long millis, long refutedMillis) {
        boolean removed =
                crashes.values()
                        .removeIf(
                                crash ->
                                        crash.atMillis()
                                                < (crash.refuted() ? refutedMillis : millis));
        updateStanding();
        return removed;
    }

    boolean isEmpty() {
        return crashes.isEmpty();
    }

    /**
     * Returns whether the part waited at a crash, refuted ones included. It may have waited at
     * those before the oldest one that is kept.
     */
    boolean explains(EngineCrash crash) {
        return crashes.containsKey(crash.life())
                || (crashes.size() == MAX_CRASHES && crash.atMillis() < oldestMillis());
    }

    private long oldestMillis() {
        return crashes.values().stream().mapToLong(EngineCrash::atMillis).min().orElseThrow();
    }

    /** Returns the crashes that nothing refutes, in order of time. */
    List<EngineCrash> standing() {
        return standing;
    }

    private void updateStanding() {
        standing =
                crashes.values().stream()
                        .filter(crash -> !crash.refuted())
                        .sorted(Comparator.comparingLong(EngineCrash::atMillis))
                        .toList();
    }

    PartEvidence evidence() {
        return new PartEvidence(id, survived, List.copyOf(crashes.values()));
    }
}
