package org.bronzewheel.stages;

import java.util.Optional;
import org.bronzewheel.catalog.ClockReading;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.permits.PermitKind;
import org.bronzewheel.permits.Permits;

/** The permit for the next call to a stage upstream with a rate or concurrency limit. */
final class StagePermit {
    private static final int MOST_URGENT_RANK = 0;

    /** How long a granted permit may be held before it is used, in milliseconds. */
    private static final long MAX_HELD_MILLIS = 200;

    private Optional<ClockReading> granted = Optional.empty();
    private boolean pending;

    boolean isHeld(ClockReading now) {
        return granted.filter(since -> now.millisSince(since) <= MAX_HELD_MILLIS).isPresent();
    }

    /** Requests a permit unless a request is pending or the limit is known not to allow one yet. */
    void request(Permits permits, String upstreamId, Loop loop, Runnable onGranted) {
        if (pending || permits.unavailableMillis(PermitKind.SEND, upstreamId) > 0) {
            return;
        }
        pending = true;
        // The request is not cancelled when the permit is no longer needed; it expires.
        permits.acquire(
                        PermitKind.SEND,
                        upstreamId,
                        MOST_URGENT_RANK,
                        0,
                        decision -> {
                            pending = false;
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
