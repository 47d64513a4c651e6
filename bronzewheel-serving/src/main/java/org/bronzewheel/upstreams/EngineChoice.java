package org.bronzewheel.upstreams;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The choice of the model engine for a prompt: the shortest expected time to its first token, with
 * the bytes of its inputs that would cross failure domains as a cost.
 */
public final class EngineChoice {
    private static final double PREFILL_TOKENS_PER_MILLI = 60;
    private static final double MILLIS_PER_OPEN_CALL = 3;
    private static final double FULL_MILLIS = 2_000;
    private static final double MILLIS_PER_CROSSING_MEGABYTE = 40;
    private static final int REMEMBERED_PROMPTS = 4_096;

    private final Map<String, String> keeperByPromptPart =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
                    return size() > REMEMBERED_PROMPTS;
                }
            };

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
    public Optional<Upstream> choose(
            List<Upstream> candidates,
            Set<String> tried,
            Prompt prompt,
            String ownFailureDomain,
            long nowMillis) {
        return UpstreamChoice.least(
                candidates, tried, nowMillis, u -> cost(u, prompt, ownFailureDomain));
    }

    /**
     * Books that an engine has read a prompt.
     *
     * @param upstream the engine
     * @param prompt the prompt
     */
    public void read(Upstream upstream, Prompt prompt) {
        for (PromptPart part : prompt.parts()) {
            keeperByPromptPart.put(part.id(), upstream.entry().id());
        }
    }

    private double cost(Upstream upstream, Prompt prompt, String ownFailureDomain) {
        int unread = prompt.tokens() - keptTokens(upstream, prompt);
        double millis = (upstream.openTokens() + unread) / PREFILL_TOKENS_PER_MILLI;
        millis += upstream.openCalls() * MILLIS_PER_OPEN_CALL;
        if (upstream.openCalls() >= upstream.entry().slots()) {
            millis += FULL_MILLIS;
        }
        long crossing =
                prompt.inputBytes().entrySet().stream()
                        .filter(e -> !e.getKey().equals(upstream.entry().failureDomain()))
                        .mapToLong(Map.Entry::getValue)
                        .sum();
        millis += crossing / 1e6 * MILLIS_PER_CROSSING_MEGABYTE;
        return millis + (upstream.entry().failureDomain().equals(ownFailureDomain) ? 0 : 2);
    }

    private int keptTokens(Upstream upstream, Prompt prompt) {
        int kept = 0;
        for (PromptPart part : prompt.parts()) {
            if (!upstream.entry().id().equals(keeperByPromptPart.get(part.id()))) {
                break;
            }
            kept += part.tokens();
        }
        return kept;
    }
}
