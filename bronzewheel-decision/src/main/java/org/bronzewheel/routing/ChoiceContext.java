package org.bronzewheel.routing;

import java.util.Set;

/**
 * What a call asks of the choice of its worker.
 *
 * @param excluded names of upstreams that must not be chosen, for example those already tried
 * @param failureDomain the failure domain of the router, which breaks ties
 * @param prefixHash the hash of the prompt's prefix, 0 for none
 * @param mayProbe whether the call may go to an ejected worker to probe it
 * @param headroom the load that a worker may be given relative to its concurrency, 1 for no queue
 */
public record ChoiceContext(
        Set<String> excluded,
        String failureDomain,
        long prefixHash,
        boolean mayProbe,
        double headroom) {
    /** Asks nothing in particular. */
    public static final ChoiceContext ANY = new ChoiceContext(Set.of(), "", 0, false, 1);
}
