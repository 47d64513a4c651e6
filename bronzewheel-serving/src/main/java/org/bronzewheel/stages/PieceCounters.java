package org.bronzewheel.stages;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.StringJoiner;
import java.util.TreeMap;

/** Counts of what became of the pieces of a stage service since the counts were last read. */
final class PieceCounters {
    private final Map<Event, Integer> counts = new EnumMap<>(Event.class);
    private final Map<Integer, PieceCounters> ofRank = new TreeMap<>();

    /** What can happen to a piece. */
    enum Event {
        /** It went into a call. */
        TAKEN,
        /** Its result was made and has a reader. */
        MADE,
        /** Its result was made for a request that had ended. */
        UNUSED,
        /** One of its inputs no longer existed. */
        INPUT_GONE,
        /** Its result found no room. */
        NO_ROOM,
        /** Its call failed. */
        FAILED,
        /** It was given up before a call, as its turn would have come too late. */
        LATE
    }

    void count(Event event, int pieces) {
        counts.merge(event, pieces, Integer::sum);
    }

    /** Counts pieces of a rank, here and in the tally of the rank. */
    void count(Event event, int rank, int pieces) {
        count(event, pieces);
        ofRank(rank).count(event, pieces);
    }

    /** Returns the tally of a rank. */
    PieceCounters ofRank(int rank) {
        return ofRank.computeIfAbsent(rank, unknown -> new PieceCounters());
    }

    /** Returns the ranks that were ever counted. */
    Set<Integer> ranks() {
        return ofRank.keySet();
    }

    /** Returns the counts as {@code taken=12 made=10}, and begins anew. */
    String take() {
        StringJoiner text = new StringJoiner(" ");
        counts.forEach(
                (event, pieces) -> text.add(event.name().toLowerCase(Locale.ROOT) + "=" + pieces));
        counts.clear();
        return text.toString();
    }
}
