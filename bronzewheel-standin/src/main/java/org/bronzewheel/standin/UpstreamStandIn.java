package org.bronzewheel.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Vertx;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.List;
import java.util.Map;
import org.bronzewheel.request.Usage;

/** A stand-in for an upstream: workers behind a queue, a ledger of runs, and fault switches. */
public abstract class UpstreamStandIn extends StandInServer {
    private final UpstreamSettings settings;
    private final Ledger ledger;
    private final FaultSwitch faults;
    private final WorkQueue queue;
    private volatile LoadReport report = new LoadReport(0, 0, 1);
    private long reportTimer;

    UpstreamStandIn(Vertx vertx, UpstreamSettings settings, Ledger ledger) {
        super(vertx, settings.host(), settings.port());
        this.settings = settings;
        this.ledger = ledger;
        this.faults = new FaultSwitch(settings.seed());
        this.queue = new WorkQueue(settings.workers());
    }

    /** {@inheritDoc} */
    @Override
    public synchronized void start() {
        super.start();
        reportTimer =
                vertx().setPeriodic(Math.max(1, settings.loadLagMillis()), timer -> reportLoad());
    }

    /** {@inheritDoc} */
    @Override
    public synchronized void stop() {
        vertx().cancelTimer(reportTimer);
        super.stop();
    }

    /**
     * Returns the name of the upstream.
     *
     * @return the name in the inventory
     */
    public String name() {
        return settings.name();
    }

    /**
     * Changes the fault switches.
     *
     * @param changed the switches
     */
    public void setFaults(Faults changed) {
        faults.set(changed);
    }

    /**
     * Returns the fault switches.
     *
     * @return the switches
     */
    public Faults faults() {
        return faults.get();
    }

    @Override
    void addRoutes(Router router) {
        router.get("/v1/load").handler(c -> answer(c, OK, report));
        router.put("/admin/faults").handler(this::putFaults);
        router.get("/admin/ledger").handler(this::getLedger);
    }

    UpstreamSettings settings() {
        return settings;
    }

    WorkQueue queue() {
        return queue;
    }

    Fate drawFate() {
        return faults.draw();
    }

    boolean isFull() {
        return queue.queued() >= settings.maxQueued();
    }

    long delayMillis() {
        return faults.get().delayMillis();
    }

    int startRun(CallHeaders headers, JsonNode input) {
        return ledger.start(
                new Run(
                        settings.pool(),
                        settings.name(),
                        headers.attemptId(),
                        headers.requestId(),
                        headers.workspace(),
                        headers.idempotencyKey(),
                        ExpectedAnswers.nonce(input),
                        ExpectedAnswers.digest(input),
                        faults.get().leaving(),
                        System.currentTimeMillis(),
                        0,
                        RunState.RUNNING,
                        Usage.NONE));
    }

    void endRun(int position, RunState state, Usage usage) {
        ledger.end(position, state, usage);
    }

    /** Marks the answer where the upstream is leaving. */
    void markLeaving(RoutingContext context) {
        if (faults.get().leaving()) {
            context.response().putHeader(CallHeaders.LEAVING, "true");
        }
    }

    void refuse(RoutingContext context) {
        markLeaving(context);
        answer(context, UNAVAILABLE, Map.of("error", "refused"));
    }

    private void reportLoad() {
        report = new LoadReport(queue.inFlight(), queue.queued(), report.sequence() + 1);
    }

    private void putFaults(RoutingContext context) {
        setFaults(MAPPER.convertValue(PlatformStandIn.requireBody(context), Faults.class));
        answer(context, OK, faults());
    }

    private void getLedger(RoutingContext context) {
        List<Run> runs = ledger.runs((int) longParameter(context, "after", 0));
        answer(context, OK, Map.of("runs", runs));
    }
}
