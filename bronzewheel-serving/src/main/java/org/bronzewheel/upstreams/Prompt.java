package org.bronzewheel.upstreams;

import java.util.List;
import java.util.Map;

/**
 * The properties of a request that the selection of an engine depends on.
 *
 * @param tokens the length of the prompt in tokens
 * @param parts its parts in order
 * @param inputBytes the bytes of stage results that the engine fetches, by the failure domain that
 *     holds them
 */
public record Prompt(int tokens, List<PromptPart> parts, Map<String, Long> inputBytes) {
    /**
     * Returns the length of the parts that other requests may share.
     *
     * @return the tokens of all parts except the last, which is specific to the request
     */
    public int sharedPrefixTokens() {
        return shared().stream().mapToInt(PromptPart::tokens).sum();
    }

    /**
     * Returns the hash key that routes requests with the same shared parts to the same engine.
     *
     * @return the id of the last shared part; empty without one
     */
    public String affinityKey() {
        List<PromptPart> shared = shared();
        return shared.isEmpty() ? "" : shared.get(shared.size() - 1).id();
    }

    private List<PromptPart> shared() {
        return parts.subList(0, Math.max(0, parts.size() - 1));
    }
}
