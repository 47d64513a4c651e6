package org.bronzewheel.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;

/** The prompt parts that engines have survived lately at this router, with the newest time. */
final class SurvivedParts {
    static final int MAX_PARTS = 4_096;

    private final Map<String, Long> newestMillis =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                    return size() > MAX_PARTS;
                }
            };

    void add(String partId, long survivedMillis) {
        newestMillis.merge(partId, survivedMillis, Math::max);
    }

    boolean contains(String partId) {
        return newestMillis.containsKey(partId);
    }

    /** Returns the newest time, or a time before all others if there is none. */
    long newestMillis(String partId) {
        return newestMillis.getOrDefault(partId, Long.MIN_VALUE);
    }
}
