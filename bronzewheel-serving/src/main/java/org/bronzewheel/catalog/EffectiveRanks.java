package org.bronzewheel.catalog;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Computes the ranks of requests from one version of the configuration.
 *
 * <p>The priority of the workspace takes precedence over that of the route: requests are ranked by
 * the workspace first and by the route within one priority of workspaces, without gaps. A workspace
 * without a priority, and a request without a workspace, count as the least urgent priority that
 * any workspace names. Where all workspaces count the same, the rank is the priority of the route.
 *
 * <p>Routers that act on different versions may compute different ranks for the same request for
 * some seconds. All ranks start at 0, increase as urgency decreases, and are valid for any
 * receiver, which orders by them and never uses them to look up a priority.
 */
public final class EffectiveRanks {
    private static final int MAX_ENGINE_URGENCY = 9;
    private static final int ENGINE_URGENCY_STEP = 2;

    /** The number of ranks that are one step apart at the engines. */
    private static final int FULL_STEPS = 5;

    private final int[] workspacePriorities;
    private final int[] routePriorities;

    EffectiveRanks(List<ServiceRoute> routes, List<WorkspaceEntry> workspaces) {
        this.workspacePriorities =
                workspaces.stream()
                        .map(WorkspaceEntry::priority)
                        .flatMapToInt(OptionalInt::stream)
                        .sorted()
                        .distinct()
                        .toArray();
        this.routePriorities =
                routes.stream().mapToInt(ServiceRoute::priority).sorted().distinct().toArray();
    }

    /**
     * Returns whether some two workspaces have different priorities.
     *
     * @return whether the priorities of workspaces affect the ranks
     */
    public boolean distinguishWorkspaces() {
        return workspacePriorities.length > 1;
    }

    /**
     * Returns the number of ranks.
     *
     * @return the highest rank of a request, plus 1
     */
    public int count() {
        if (distinguishWorkspaces()) {
            return workspacePriorities.length * routePriorities.length;
        }
        return 1 + Math.max(0, Arrays.stream(routePriorities).max().orElse(0));
    }

    /**
     * Returns the rank of a request.
     *
     * @param route the route of the request, from the same configuration
     * @param workspace the workspace of the request; empty for an open route
     * @return the rank
     */
    public EffectiveRank of(ServiceRoute route, Optional<WorkspaceEntry> workspace) {
        if (!distinguishWorkspaces()) {
            int rank = Math.max(0, route.priority());
            return new EffectiveRank(rank, stepUrgency(rank));
        }
        int leastUrgent = workspacePriorities[workspacePriorities.length - 1];
        int priority =
                workspace
                        .map(WorkspaceEntry::priority)
                        .orElse(OptionalInt.empty())
                        .orElse(leastUrgent);
        int rank =
                index(workspacePriorities, priority) * routePriorities.length
                        + index(routePriorities, route.priority());
        return new EffectiveRank(rank, count() <= FULL_STEPS ? stepUrgency(rank) : spread(rank));
    }

    private static int index(int[] sorted, int priority) {
        int found = Arrays.binarySearch(sorted, priority);
        return found >= 0 ? found : Math.min(sorted.length - 1, -1 - found);
    }

    private static int stepUrgency(int rank) {
        return Math.min(MAX_ENGINE_URGENCY, 1 + ENGINE_URGENCY_STEP * rank);
    }

    /** Spreads the ranks evenly, as more ranks than steps would share the least urgency. */
    private int spread(int rank) {
        return 1 + rank * (MAX_ENGINE_URGENCY - 1) / (count() - 1);
    }
}
