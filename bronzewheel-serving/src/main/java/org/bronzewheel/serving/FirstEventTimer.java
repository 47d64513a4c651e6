package org.bronzewheel.serving;

import java.util.Map;
import org.bronzewheel.upstreams.Prompt;
import org.bronzewheel.upstreams.Upstream;

/**
 * Measures the time from the sending of one streamed request to its first event at a model engine.
 */
final class FirstEventTimer {
    private final ServingContext context;
    private final Upstream engine;
    private final long workTokens;
    private final long sentMillis;

    /** Creates a timer. Call this before the request is counted at the engine. */
    FirstEventTimer(ServingContext context, Upstream engine, CallerRequest request) {
        this.context = context;
        this.engine = engine;
        this.sentMillis = context.loop().nowMillis();
        Prompt prompt = new Prompt(request.promptTokens(), request.promptParts(), Map.of());
        int unread =
                context.engines()
                        .unreadTokens(
                                context.upstreams().serving(engine.entry().service()),
                                prompt,
                                engine,
                                sentMillis);
        this.workTokens = (long) engine.pendingPromptTokens() + unread;
    }

    /** Records the first event. */
    void began() {
        long nowMillis = context.loop().nowMillis();
        context.engines()
                .recordFirstEvent(engine, workTokens, (double) (nowMillis - sentMillis), nowMillis);
    }
}
