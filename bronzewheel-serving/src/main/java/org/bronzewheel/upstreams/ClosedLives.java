package org.bronzewheel.upstreams;

import java.util.HashMap;
import java.util.Map;

/**
 * The lives of upstreams that were leaving or gone before the platform returned from a copy.
 *
 * <p>The copy may list them as serving again. They get no new work in that life; a new life, with
 * another start time, is open.
 */
final class ClosedLives {
    /** The time for which a gone life is remembered; copies are some seconds old. */
    private static final long GONE_MEMORY_MILLIS = 60_000;

    private final Map<String, Life> gone = new HashMap<>();
    private final Map<String, Life> closed = new HashMap<>();

    /** A life, by its start, and the time at which it was last seen to end. */
    private record Life(long startedMillis, long atMillis) {}

    /**
     * Records that an upstream is gone.
     *
     * @param entry its last entry
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    void gone(UpstreamEntry entry, long nowMillis) {
        gone.put(entry.id(), new Life(entry.startedMillis(), nowMillis));
    }

    /**
     * Records that the platform has returned from a copy.
     *
     * @param known the upstreams known until then
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    void returned(Iterable<Upstream> known, long nowMillis) {
        closed.putAll(gone);
        for (Upstream upstream : known) {
            UpstreamEntry entry = upstream.entry();
            if (entry.leaving()) {
                closed.put(entry.id(), new Life(entry.startedMillis(), nowMillis));
            } else {
                // Registered again before the return, so it was not gone.
                closed.remove(entry.id());
            }
        }
    }

    /**
     * Returns an entry as it counts for this router.
     *
     * @param entry the published entry
     * @return the entry, marked as leaving if its life is closed
     */
    UpstreamEntry apply(UpstreamEntry entry) {
        Life life = closed.get(entry.id());
        boolean isClosed = life != null && life.startedMillis() == entry.startedMillis();
        return isClosed ? entry.asLeaving() : entry;
    }

    /**
     * Forgets lives that ended long ago.
     *
     * @param known the upstreams that are listed, which are never forgotten
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    void expire(Map<String, Upstream> known, long nowMillis) {
        gone.values().removeIf(life -> nowMillis - life.atMillis() > GONE_MEMORY_MILLIS);
        closed.entrySet()
                .removeIf(
                        life ->
                                !known.containsKey(life.getKey())
                                        && nowMillis - life.getValue().atMillis()
                                                > GONE_MEMORY_MILLIS);
    }

    /**
     * Returns the number of closed lives.
     *
     * @return the number
     */
    int size() {
        return closed.size();
    }
}
