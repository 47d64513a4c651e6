package org.bronzewheel.routing;

import java.util.Set;

/**
 * The constraints and preferences of a call when its worker is chosen.
 *
 * @param excluded names of upstreams that must not be chosen, for example those already tried
 * @param failureDomain the failure domain of the router, preferred among equally loaded workers
 * @param prefixHash the hash of the prompt's prefix, 0 for none
 * @param probeDelayNanos the time after the end of an ejection from which this call may probe the
 *     worker, {@link #NO_PROBE} for never
 * @param headroom the maximum load of a worker relative to its concurrency; at 1, no calls queue at
 *     the worker
 */
public record ChoiceContext(
        Set<String> excluded,
        String failureDomain,
        long prefixHash,
        long probeDelayNanos,
        double headroom) {
    /** The probe delay of a call that must not probe. */
    public static final long NO_PROBE = Long.MAX_VALUE;

    /** A context without constraints or preferences. */
    public static final ChoiceContext ANY = new ChoiceContext(Set.of(), "", 0, NO_PROBE, 1);
}
