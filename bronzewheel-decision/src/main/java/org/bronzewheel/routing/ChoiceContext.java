package org.bronzewheel.routing;

import java.util.Set;

/**
 * What a call asks of the choice of its worker.
 *
 * @param excluded names of upstreams that must not be chosen, for example those already tried
 * @param failureDomain the failure domain of the router, which breaks ties
 * @param prefixHash the hash of the prompt's prefix, 0 for none
 * @param probeDelayNanos how long after the end of its ejection a worker may be probed by this
 *     call, {@link #NO_PROBE} for never
 * @param headroom the load that a worker may be given relative to its concurrency, 1 for no queue
 */
public record ChoiceContext(
        Set<String> excluded,
        String failureDomain,
        long prefixHash,
        long probeDelayNanos,
        double headroom) {
    /** The patience of a call that must not probe. */
    public static final long NO_PROBE = Long.MAX_VALUE;

    /** Asks nothing in particular. */
    public static final ChoiceContext ANY = new ChoiceContext(Set.of(), "", 0, NO_PROBE, 1);
}
