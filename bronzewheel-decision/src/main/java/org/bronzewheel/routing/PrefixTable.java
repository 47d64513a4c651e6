package org.bronzewheel.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/** A bounded table of the worker that last stored a prompt prefix; a hint, never truth. */
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

    /** Returns the name of the holder, or null. */
    String holder(long prefixHash) {
        return prefixHash == 0 ? null : holders.get(prefixHash);
    }
}
