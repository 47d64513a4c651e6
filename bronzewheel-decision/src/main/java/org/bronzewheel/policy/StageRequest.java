package org.bronzewheel.policy;

import java.util.List;
import java.util.Set;
import org.bronzewheel.budget.StageKey;
import org.bronzewheel.rules.RequestClass;

/**
 * A request for a worker to run one stage.
 *
 * @param remaining this stage and those after it, in order
 * @param requestClass the request class
 * @param workspace the workspace of the caller
 * @param deadlineNanos the deadline for the complete response
 * @param idempotent whether the stage is safe to run more than once
 * @param excluded names of upstreams that must not be chosen, since they were tried already
 * @param prefixHash the hash of the prompt's prefix, 0 for none
 */
public record StageRequest(
        List<StageKey> remaining,
        RequestClass requestClass,
        String workspace,
        long deadlineNanos,
        boolean idempotent,
        Set<String> excluded,
        long prefixHash) {
    /**
     * Returns the key of this stage.
     *
     * @return the key of the first remaining stage
     */
    public StageKey key() {
        return remaining.get(0);
    }

    /**
     * Returns a copy with other excluded upstreams, for a retry.
     *
     * @param names names of upstreams that must not be chosen
     * @return the request
     */
    public StageRequest withExcluded(Set<String> names) {
        return new StageRequest(
                remaining, requestClass, workspace, deadlineNanos, idempotent, names, prefixHash);
    }

    /**
     * Returns a copy with another prefix hash.
     *
     * @param hash the hash of the prompt's prefix, 0 for none
     * @return the request
     */
    public StageRequest withPrefixHash(long hash) {
        return new StageRequest(
                remaining, requestClass, workspace, deadlineNanos, idempotent, excluded, hash);
    }
}
