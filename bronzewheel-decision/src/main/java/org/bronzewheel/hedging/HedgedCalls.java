package org.bronzewheel.hedging;

import java.util.IdentityHashMap;
import org.bronzewheel.routing.OpenCall;

/**
 * The open calls of hedged stages, with the extra cost that was withdrawn for each group of calls
 * to the same stage. The size is bounded by the number of open calls.
 */
public final class HedgedCalls {
    private static final class Group {
        private double withdrawn;
    }

    private final IdentityHashMap<OpenCall, Group> groups = new IdentityHashMap<>();

    /**
     * Records that a hedge was sent while an earlier call is open.
     *
     * @param first the earlier call
     * @param second the hedge
     * @param cost the extra cost withdrawn for the hedge, in worker nanoseconds
     */
    public void add(OpenCall first, OpenCall second, double cost) {
        Group group = groups.computeIfAbsent(first, c -> new Group());
        group.withdrawn += cost;
        groups.put(second, group);
    }

    /**
     * Removes a call that was answered or failed.
     *
     * @param call the call
     */
    public void remove(OpenCall call) {
        groups.remove(call);
    }

    /**
     * Removes a cancelled call and returns the extra cost to refund.
     *
     * @param call the call
     * @param spent the cost of the call up to its cancellation, in worker nanoseconds
     * @return the cost withdrawn for its group less what the call spent, 0 if the call was not
     *     hedged
     */
    public double removeCancelled(OpenCall call, double spent) {
        Group group = groups.remove(call);
        if (group == null) {
            return 0;
        }
        double left = Math.max(0, group.withdrawn - spent);
        group.withdrawn = 0;
        return left;
    }
}
