package org.bronzewheel.published;

import com.google.common.flogger.FluentLogger;
import java.util.LinkedHashMap;
import java.util.Map;
import org.bronzewheel.published.PublishedChange.Unreadable;

/** A log of the published entries that cannot be read, with one line for each entry and reason. */
final class UnreadableLog {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAX_ENTRIES = 1_000;

    private final Map<String, String> reasons =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
                    return size() > MAX_ENTRIES;
                }
            };

    /** Logs an entry unless it was logged with the same reason before. */
    void report(Unreadable entry) {
        if (!entry.reason().equals(reasons.put(entry.name(), entry.reason()))) {
            logger.atWarning().log(
                    "cannot parse published entry: name=%s reason=%s",
                    entry.name(), entry.reason());
        }
    }

    /** Records that an entry is readable again, so that it is logged if it fails later. */
    void readable(String name) {
        reasons.remove(name);
    }
}
