package org.bronzewheel.stages;

import java.util.Optional;
import org.bronzewheel.catalog.Instants;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.permits.PermitKind;
import org.bronzewheel.permits.Permits;

/** The permit for the next call of a stage upstream that limits what it takes. */
final class StagePermit {
    private static final int MOST_URGENT_RANK = 0;

    /** The time for which a permit may be kept for a call, in milliseconds. */
    private static final long LIFE_MILLIS = 200;

    private Optional<Instants> granted = Optional.empty();
    private boolean asked;

    boolean isHeld(Instants now) {
        return granted.filter(since -> now.millisSince(since) <= LIFE_MILLIS).isPresent();
    }

    /** Asks for a permit unless that is in progress or known to be useless. */
    void ask(Permits permits, String upstreamId, Loop loop, Runnable onGranted) {
        if (asked || permits.unavailableMillis(PermitKind.SEND, upstreamId) > 0) {
            return;
        }
        asked = true;
        // A call that needs no permit any more leaves this question to run out.
        permits.acquire(
                        PermitKind.SEND,
                        upstreamId,
                        MOST_URGENT_RANK,
                        0,
                        decision -> {
                            asked = false;
                            if (decision.granted()) {
                                granted = Optional.of(loop.now());
                                onGranted.run();
                            }
                        })
                .isDisposed();
    }

    void use() {
        granted = Optional.empty();
    }
}
