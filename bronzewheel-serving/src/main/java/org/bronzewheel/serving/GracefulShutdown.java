package org.bronzewheel.serving;

import java.util.function.IntSupplier;
import org.bronzewheel.loop.Loop;

/**
 * A graceful shutdown: keeps serving while the load balancer still sends callers, as far as
 * requests can be completed in time, then refuses new requests, and exits once all requests are
 * answered or the stop time is nearly over.
 */
public final class GracefulShutdown {
    private static final long BALANCER_DRAIN_MILLIS = 2_600;
    private static final double REFUSE_AFTER_SHARE = 0.375;
    private static final long EXIT_MARGIN_MILLIS = 500;
    private static final long CHECK_INTERVAL_MILLIS = 50;

    private final Loop loop;
    private final long stopMillis;
    private final ServingEngine engine;
    private final IntSupplier otherWork;
    private final Runnable exit;
    private long startedMillis;
    private boolean wasIdle;

    /**
     * Creates a shutdown; {@link #begin} starts it.
     *
     * @param loop the serving loop
     * @param stopMillis the time from the stop to the kill of the process, in milliseconds
     * @param engine the requests in progress
     * @param otherWork returns the number of jobs in progress for other routers
     * @param exit exits the process
     */
    public GracefulShutdown(
            Loop loop,
            long stopMillis,
            ServingEngine engine,
            IntSupplier otherWork,
            Runnable exit) {
        this.loop = loop;
        this.stopMillis = stopMillis;
        this.engine = engine;
        this.otherWork = otherWork;
        this.exit = exit;
    }

    /** Starts the shutdown. */
    public void begin() {
        startedMillis = loop.nowMillis();
        engine.exitAt(startedMillis + stopMillis - EXIT_MARGIN_MILLIS);
        loop.after(Math.round(stopMillis * REFUSE_AFTER_SHARE), engine::refuseNew);
        check();
    }

    private void check() {
        long elapsedMillis = loop.nowMillis() - startedMillis;
        boolean idle = engine.runningRequests() == 0 && otherWork.getAsInt() == 0;
        if (elapsedMillis >= stopMillis - EXIT_MARGIN_MILLIS
                || (idle && wasIdle && elapsedMillis >= BALANCER_DRAIN_MILLIS)) {
            engine.endAll();
            exit.run();
            return;
        }
        engine.endHopeless();
        // When the router becomes idle, the last response may not have reached the socket yet.
        wasIdle = idle;
        loop.after(CHECK_INTERVAL_MILLIS, this::check);
    }
}
