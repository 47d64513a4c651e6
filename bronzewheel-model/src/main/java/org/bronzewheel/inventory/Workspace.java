package org.bronzewheel.inventory;

/**
 * A workspace, the unit to which capacity shares and limits are assigned.
 *
 * @param name the name, unique among workspaces
 * @param weight its share under contention relative to others, at least 1
 * @param requestsPerSecondLimit requests per second over the whole fleet, 0 for no limit
 */
public record Workspace(String name, int weight, int requestsPerSecondLimit) {}
