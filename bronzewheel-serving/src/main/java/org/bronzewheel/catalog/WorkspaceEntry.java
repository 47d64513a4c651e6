package org.bronzewheel.catalog;

import java.util.List;
import java.util.OptionalInt;

/**
 * A workspace and the keys by which its callers are known.
 *
 * @param name the name of the workspace
 * @param keys its keys
 * @param priority its rank, 0 first; empty where the route's rank holds
 */
public record WorkspaceEntry(String name, List<String> keys, OptionalInt priority) {}
