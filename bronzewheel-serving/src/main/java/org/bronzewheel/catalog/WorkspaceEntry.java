package org.bronzewheel.catalog;

import java.util.List;
import java.util.OptionalInt;

/**
 * A workspace and the API keys that identify its callers.
 *
 * @param name the name of the workspace
 * @param keys the API keys
 * @param priority the priority, 0 being the highest; empty to count as the least urgent priority of
 *     the configuration
 */
public record WorkspaceEntry(String name, List<String> keys, OptionalInt priority) {
    /**
     * Describes the priority for the log.
     *
     * @return the number, or "none"
     */
    public String describePriority() {
        return priority.isPresent() ? Integer.toString(priority.getAsInt()) : "none";
    }
}
