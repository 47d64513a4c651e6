package org.bronzewheel.catalog;

import java.util.List;
import java.util.OptionalInt;

/**
 * A workspace and the API keys that identify its callers.
 *
 * @param name the name of the workspace
 * @param keys the API keys
 * @param priority the priority, 0 being the highest; empty to use the priority of the route
 */
public record WorkspaceEntry(String name, List<String> keys, OptionalInt priority) {}
