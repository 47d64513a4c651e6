package org.bronzewheel.stages;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.StringJoiner;
import java.util.TreeMap;

/** Counts the outcomes of the pieces of a stage service since the counters were last reset. */
final class PieceCounters {
    private final Map<Event, Integer> counts = new EnumMap<>(Event.class);
    private final Map<Integer, PieceCounters> ofRank = new TreeMap<>();

    /** The events that are counted. */
    enum Event {
        /** The piece was sent in a call. */
        TAKEN,
        /** The result was produced and the task was still open. */
        MADE,
        /** The result was produced after the task had ended. */
        UNUSED,
        /** An input no longer existed. */
        INPUT_GONE,
        /** The upstream had no space for the result. */
        NO_ROOM,
        /** The call or the piece failed. */
        FAILED,
        /** The piece was dropped because it could not meet its deadline. */
        LATE
    }

    void count(Event event, int pieces) {
        counts.merge(event, pieces, Integer::sum);
    }

    /** Counts pieces of a rank in the total and in the counters of the rank. */
    void count(Event event, int rank, int pieces) {
        count(event, pieces);
        ofRank(rank).count(event, pieces);
    }

    /** Returns the counters of a rank. */
    PieceCounters ofRank(int rank) {
        return ofRank.computeIfAbsent(rank, unknown -> new PieceCounters());
    }

    /** Returns the ranks that have been counted at least once. */
    Set<Integer> ranks() {
        return ofRank.keySet();
    }

    /** Returns the counts as {@code taken=12 made=10} and resets them. */
    String formatAndReset() {
        StringJoiner text = new StringJoiner(" ");
        counts.forEach(
                (event, pieces) -> text.add(event.name().toLowerCase(Locale.ROOT) + "=" + pieces));
        counts.clear();
        return text.toString();
    }
}
