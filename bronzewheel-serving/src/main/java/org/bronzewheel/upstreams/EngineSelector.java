package org.bronzewheel.upstreams;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bronzewheel.membership.RendezvousHash;

/**
 * The choice of the model engine for a prompt: the shortest expected time to its first token, with
 * the shared parts that would be read again and the bytes of its inputs that would cross failure
 * domains as costs.
 */
public final class EngineSelector {
    private static final double PREFILL_TOKENS_PER_MILLI = 60;
    private static final double MILLIS_PER_OPEN_CALL = 3;
    private static final double FULL_MILLIS = 2_000;
    private static final double OTHER_DOMAIN_MILLIS = 2;
    private static final double BYTES_PER_MEGABYTE = 1e6;
    private static final double MILLIS_PER_CROSSING_MEGABYTE = 30;
    private static final double MILLIS_PER_THOUSAND_REREAD = 100;
    private static final double TOKENS_PER_THOUSAND = 1_000;

    /**
     * Chooses an engine.
     *
     * @param candidates the engines that may get work
     * @param tried the ids of engines that had the request before
     * @param prompt the prompt and the inputs of the request
     * @param ownFailureDomain the failure domain of this router
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the engine, or empty where there is none
     */
    public Optional<Upstream> select(
            List<Upstream> candidates,
            Set<String> tried,
            Prompt prompt,
            String ownFailureDomain,
            long nowMillis) {
        int kept = prompt.sharedPrefixTokens();
        Optional<Upstream> keeper =
                kept == 0
                        ? Optional.empty()
                        : candidates.stream()
                                .filter(u -> isUsable(u, tried, nowMillis))
                                .max(Comparator.comparingLong(u -> affinityScore(prompt, u)));
        return UpstreamSelector.selectCheapest(
                candidates,
                tried,
                nowMillis,
                u ->
                        cost(u, prompt, keeper.filter(k -> k == u).isPresent() ? kept : 0)
                                + (isAt(u, ownFailureDomain) ? 0 : OTHER_DOMAIN_MILLIS));
    }

    /**
     * Returns the time that an idle engine takes to read tokens.
     *
     * @param tokens the number of prompt tokens that it does not keep
     * @return the time in milliseconds
     */
    public static long prefillMillis(int tokens) {
        return Math.round(tokens / PREFILL_TOKENS_PER_MILLI);
    }

    private static boolean isUsable(Upstream upstream, Set<String> tried, long nowMillis) {
        return !upstream.isDeprioritized(nowMillis)
                && !upstream.isMisdirected()
                && !tried.contains(upstream.entry().id());
    }

    /** All routers find the same keeper of a prompt, without telling each other. */
    private static long affinityScore(Prompt prompt, Upstream upstream) {
        return RendezvousHash.score(prompt.affinityKey(), upstream.entry().id()) >>> 1;
    }

    private static boolean isAt(Upstream upstream, String failureDomain) {
        return upstream.entry().failureDomain().equals(failureDomain);
    }

    private static double cost(Upstream upstream, Prompt prompt, int keptTokens) {
        int unread = prompt.tokens() - keptTokens;
        double millis = (upstream.pendingPromptTokens() + unread) / PREFILL_TOKENS_PER_MILLI;
        millis +=
                (prompt.sharedPrefixTokens() - keptTokens)
                        / TOKENS_PER_THOUSAND
                        * MILLIS_PER_THOUSAND_REREAD;
        millis += upstream.callsInFlight() * MILLIS_PER_OPEN_CALL;
        if (upstream.callsInFlight() >= upstream.entry().slots()) {
            millis += FULL_MILLIS;
        }
        long crossing =
                prompt.inputBytes().entrySet().stream()
                        .filter(e -> !isAt(upstream, e.getKey()))
                        .mapToLong(Map.Entry::getValue)
                        .sum();
        return millis + crossing / BYTES_PER_MEGABYTE * MILLIS_PER_CROSSING_MEGABYTE;
    }
}
