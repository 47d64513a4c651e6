package org.bronzewheel.serving;

import java.util.List;
import org.bronzewheel.quarantine.PromptQuarantine;
import org.bronzewheel.upstreams.PromptPart;
import org.bronzewheel.upstreams.Upstream;

/** Reports to the quarantine whether an engine survives the prompt of one attempt. */
final class PromptTrial {
    /** The time that an engine runs on after the first event if the prompt does not crash it. */
    private static final long SURVIVAL_MILLIS = 500;

    private final PromptQuarantine quarantine;
    private final Upstream engine;
    private final List<PromptPart> prompt;
    private boolean began;
    private boolean decided;
    private long beganMillis;

    PromptTrial(PromptQuarantine quarantine, Upstream engine, List<PromptPart> prompt) {
        this.quarantine = quarantine;
        this.engine = engine;
        this.prompt = prompt;
    }

    /** Called when the engine has begun to answer. */
    void began(long nowMillis) {
        began = true;
        beganMillis = nowMillis;
    }

    boolean hasBegun() {
        return began;
    }

    /** Called when the answer continues. */
    void progressed(long nowMillis) {
        if (began && nowMillis - beganMillis >= SURVIVAL_MILLIS) {
            survived(nowMillis);
        }
    }

    /** Called when the answer is complete. */
    void completed(long nowMillis) {
        if (began) {
            survived(nowMillis);
        }
    }

    private void survived(long nowMillis) {
        if (!decided) {
            decided = true;
            quarantine.survived(prompt, beganMillis, nowMillis);
        }
    }

    /** Called when the connection to the engine has ended before the answer. */
    void disconnected(long nowMillis) {
        boolean running = began && nowMillis - beganMillis >= SURVIVAL_MILLIS;
        if (!decided && !running && !engine.isLeaving()) {
            decided = true;
            quarantine.crashed(engine.entry(), prompt, nowMillis);
        }
    }
}
