package org.bronzewheel.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A bounded LRU table of the worker that last stored each prompt prefix. Entries are hints and may
 * be out of date.
 */
final class PrefixTable {
    private static final int MAX_PREFIXES = 10_000;

    private final Map<Long, String> holders =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, String> eldest) {
                    return size() > MAX_PREFIXES;
                }
            };

    void stored(long prefixHash, String upstream) {
        holders.put(prefixHash, upstream);
    }

    void evicted(long prefixHash, String upstream) {
        holders.remove(prefixHash, upstream);
    }

    /** Returns the name of the worker that stored the prefix last, or null if unknown. */
    String holder(long prefixHash) {
        return prefixHash == 0 ? null : holders.get(prefixHash);
    }
}
