package org.bronzewheel.catalog;

import java.util.List;

/**
 * The rule by which a configuration admits callers to the routes that are not open.
 *
 * @param rule the rule
 * @param workspaces the workspaces and their keys, in the order of the configuration; empty unless
 *     the rule is {@link Rule#KEYS}
 */
public record CallerAccess(Rule rule, List<WorkspaceEntry> workspaces) {
    /** Who may send a request to a route that is not open. */
    public enum Rule {
        /** All callers: the configuration has no list of workspaces. */
        ANY_CALLER,

        /** Callers with a key of a workspace, so nobody while there are no workspaces. */
        KEYS,

        /** Not known: the configuration came from a router that cannot tell. */
        UNKNOWN
    }

    /**
     * Creates a rule.
     *
     * @param rule the rule
     * @param workspaces the workspaces; empty unless the rule is {@link Rule#KEYS}
     * @throws IllegalArgumentException if there are workspaces although the rule has none
     */
    public CallerAccess {
        workspaces = List.copyOf(workspaces);
        if (rule != Rule.KEYS && !workspaces.isEmpty()) {
            throw new IllegalArgumentException("workspaces without a rule that checks keys");
        }
    }

    /**
     * Returns the rule of a configuration without a list of workspaces.
     *
     * @return a rule that admits all callers
     */
    public static CallerAccess anyCaller() {
        return new CallerAccess(Rule.ANY_CALLER, List.of());
    }

    /**
     * Returns the rule of a configuration with a list of workspaces.
     *
     * @param workspaces the workspaces; an empty list admits nobody
     * @return a rule that admits callers with a key of a workspace
     */
    public static CallerAccess withKeys(List<WorkspaceEntry> workspaces) {
        return new CallerAccess(Rule.KEYS, workspaces);
    }

    /**
     * Returns the rule of a configuration of which it is not known whether it has a list of
     * workspaces.
     *
     * @return a rule that admits nobody for now
     */
    public static CallerAccess unknown() {
        return new CallerAccess(Rule.UNKNOWN, List.of());
    }

    /**
     * Tells whether the rule is known.
     *
     * @return false for {@link Rule#UNKNOWN}
     */
    public boolean isKnown() {
        return rule != Rule.UNKNOWN;
    }
}
