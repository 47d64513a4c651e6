package org.bronzewheel.policy;

import java.util.List;
import java.util.Set;
import org.bronzewheel.budget.StageKey;
import org.bronzewheel.rules.RequestClass;

/**
 * A stage of a request that asks for a worker.
 *
 * @param remaining this stage and those after it, in order
 * @param requestClass the request class
 * @param workspace the workspace of the caller
 * @param deadlineNanos when the whole answer is due
 * @param idempotent whether running this stage twice does no harm
 * @param excluded names of upstreams that were tried already
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
     * @return the first of the remaining
     */
    public StageKey key() {
        return remaining.get(0);
    }

    /**
     * Returns the same request with other exclusions, for a retry.
     *
     * @param names names of upstreams that must not be chosen
     * @return the request
     */
    public StageRequest withExcluded(Set<String> names) {
        return new StageRequest(
                remaining, requestClass, workspace, deadlineNanos, idempotent, names, prefixHash);
    }

    /**
     * Returns the same request with another prefix.
     *
     * @param hash the hash of the prompt's prefix, 0 for none
     * @return the request
     */
    public StageRequest withPrefixHash(long hash) {
        return new StageRequest(
                remaining, requestClass, workspace, deadlineNanos, idempotent, excluded, hash);
    }
}
