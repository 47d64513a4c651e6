package org.bronzewheel.serving;

import java.util.function.IntSupplier;
import org.bronzewheel.loop.Loop;

/**
 * The plan of a planned stop: go on while the balancer still sends callers, then refuse, then end
 * once everything is answered or the time is over.
 */
public final class GracefulShutdown {
    private static final long CALLERS_LEAVE_MILLIS = 2_600;
    private static final double REFUSE_SHARE = 0.375;
    private static final long EXIT_MARGIN_MILLIS = 500;
    private static final long CHECK_MILLIS = 50;

    private final Loop loop;
    private final long stopMillis;
    private final ServingEngine engine;
    private final IntSupplier otherWork;
    private final Runnable end;
    private long beganMillis;
    private boolean wasIdle;

    /**
     * Creates a plan.
     *
     * @param loop runs the work
     * @param stopMillis the time after which the process is killed, in milliseconds
     * @param engine the requests in progress
     * @param otherWork the number of things in progress for other routers
     * @param end ends the process
     */
    public GracefulShutdown(
            Loop loop, long stopMillis, ServingEngine engine, IntSupplier otherWork, Runnable end) {
        this.loop = loop;
        this.stopMillis = stopMillis;
        this.engine = engine;
        this.otherWork = otherWork;
        this.end = end;
    }

    /** Begins the stop. */
    public void begin() {
        beganMillis = loop.nowMillis();
        loop.after(Math.round(stopMillis * REFUSE_SHARE), engine::refuseNew);
        check();
    }

    private void check() {
        long elapsedMillis = loop.nowMillis() - beganMillis;
        boolean idle = engine.runningRequests() == 0 && otherWork.getAsInt() == 0;
        if (elapsedMillis >= stopMillis - EXIT_MARGIN_MILLIS
                || (idle && wasIdle && elapsedMillis >= CALLERS_LEAVE_MILLIS)) {
            end.run();
            return;
        }
        // The last answer may be on its way to the socket when the router becomes idle.
        wasIdle = idle;
        loop.after(CHECK_MILLIS, this::check);
    }
}
