package org.bronzewheel.upstreams;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bronzewheel.membership.RendezvousHash;

/**
 * Selects the model engine for a prompt by the shortest expected time to the first token, given the
 * speed that each engine has shown lately and the load of all routers on it. The cost includes
 * shared prompt parts that would be processed again and input bytes that would cross failure
 * domains.
 */
public final class EngineSelector {
    private static final double PREFILL_TOKENS_PER_MILLI = 60;
    private static final double MILLIS_PER_CALL_IN_FLIGHT = 3;

    /** The prefill time of a prompt of mean length, 2,400 tokens over all classes of requests. */
    private static final double MILLIS_PER_WAITING_CALL = 40;

    private static final double NO_FREE_SLOT_MILLIS = 2_000;
    private static final double OTHER_DOMAIN_MILLIS = 2;
    private static final double BYTES_PER_MEGABYTE = 1e6;
    private static final double MILLIS_PER_CROSSING_MEGABYTE = 30;
    private static final double MILLIS_PER_THOUSAND_UNCACHED = 100;
    private static final double TOKENS_PER_THOUSAND = 1_000;

    private final FirstEventTimes firstEventTimes = new FirstEventTimes();
    private final OtherRoutersLoad others;

    /** Creates a selector that knows only the load of this router. */
    public EngineSelector() {
        this(new OtherRoutersLoad());
    }

    /**
     * Creates a selector.
     *
     * @param others the load that the other routers put on the engines
     */
    public EngineSelector(OtherRoutersLoad others) {
        this.others = others;
    }

    /**
     * Returns the load of the other routers.
     *
     * @return the estimate that this selector uses
     */
    public OtherRoutersLoad others() {
        return others;
    }

    /**
     * Selects an engine.
     *
     * @param candidates the engines that accept new requests
     * @param tried the ids of engines that the request was already sent to
     * @param prompt the prompt and the inputs of the request
     * @param ownFailureDomain the failure domain of this router
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the engine, or empty if there is none
     */
    public Optional<Upstream> select(
            List<Upstream> candidates,
            Set<String> tried,
            Prompt prompt,
            String ownFailureDomain,
            long nowMillis) {
        int cachedTokens = prompt.sharedPrefixTokens();
        Optional<Upstream> affine = affine(candidates, tried, prompt, nowMillis);
        return UpstreamSelector.selectCheapest(
                candidates,
                tried,
                nowMillis,
                u ->
                        cost(
                                        u,
                                        prompt,
                                        affine.filter(k -> k == u).isPresent() ? cachedTokens : 0,
                                        nowMillis)
                                + (isAt(u, ownFailureDomain) ? 0 : OTHER_DOMAIN_MILLIS));
    }

    /**
     * Returns the prefill time of an idle engine.
     *
     * @param tokens the number of prompt tokens that it has not cached
     * @return the time in milliseconds
     */
    public static long prefillMillis(int tokens) {
        return Math.round(tokens / PREFILL_TOKENS_PER_MILLI);
    }

    /**
     * Returns the length of the part of a prompt that an engine is not expected to have cached.
     *
     * @param candidates the engines that accept new requests
     * @param prompt the prompt
     * @param engine the engine that it is sent to
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the number of tokens
     */
    public int unreadTokens(
            List<Upstream> candidates, Prompt prompt, Upstream engine, long nowMillis) {
        boolean cached =
                affine(candidates, Set.of(), prompt, nowMillis)
                        .filter(upstream -> upstream == engine)
                        .isPresent();
        return prompt.tokens() - (cached ? prompt.sharedPrefixTokens() : 0);
    }

    /**
     * Records the first event of a request, from which the speed of the engine is estimated.
     *
     * @param engine the engine that sent it
     * @param workTokens the prompt tokens that it had to read before, as far as known
     * @param elapsedMillis the time since the request was sent, in milliseconds
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void recordFirstEvent(
            Upstream engine, long workTokens, double elapsedMillis, long nowMillis) {
        firstEventTimes.record(engine, workTokens, elapsedMillis, nowMillis);
    }

    /** Returns the engine that has the shared parts of a prompt cached, if it has any. */
    private static Optional<Upstream> affine(
            List<Upstream> candidates, Set<String> tried, Prompt prompt, long nowMillis) {
        return prompt.sharedPrefixTokens() == 0
                ? Optional.empty()
                : candidates.stream()
                        .filter(u -> isUsable(u, tried, nowMillis))
                        .max(Comparator.comparingLong(u -> affinityScore(prompt, u)));
    }

    private static boolean isUsable(Upstream upstream, Set<String> tried, long nowMillis) {
        return !upstream.isDeprioritized(nowMillis)
                && !upstream.isMisdirected()
                && !tried.contains(upstream.entry().id());
    }

    /** Rendezvous hashing gives all routers the same engine for a prefix without coordination. */
    private static long affinityScore(Prompt prompt, Upstream upstream) {
        return RendezvousHash.score(prompt.affinityKey(), upstream.entry().id()) >>> 1;
    }

    private static boolean isAt(Upstream upstream, String failureDomain) {
        return upstream.entry().failureDomain().equals(failureDomain);
    }

    private double cost(Upstream upstream, Prompt prompt, int cachedTokens, long nowMillis) {
        int unread = prompt.tokens() - cachedTokens;
        double slowness = upstream.slowness(nowMillis) * upstream.reportedSlowness(nowMillis);
        double ahead = upstream.pendingPromptTokens() + others.promptTokens(upstream, nowMillis);
        double calls =
                Math.max(
                        upstream.callsInFlight() + others.calls(upstream, nowMillis),
                        upstream.reportedRunning(nowMillis));
        double millis = slowness * (ahead + unread) / PREFILL_TOKENS_PER_MILLI;
        millis +=
                (prompt.sharedPrefixTokens() - cachedTokens)
                        / TOKENS_PER_THOUSAND
                        * MILLIS_PER_THOUSAND_UNCACHED;
        millis += slowness * calls * MILLIS_PER_CALL_IN_FLIGHT;
        millis += slowness * upstream.reportedWaiting(nowMillis) * MILLIS_PER_WAITING_CALL;
        if (calls >= upstream.entry().slots()) {
            millis += NO_FREE_SLOT_MILLIS;
        }
        long crossing =
                prompt.inputBytes().entrySet().stream()
                        .filter(e -> !isAt(upstream, e.getKey()))
                        .mapToLong(Map.Entry::getValue)
                        .sum();
        return millis + crossing / BYTES_PER_MEGABYTE * MILLIS_PER_CROSSING_MEGABYTE;
    }
}
