package org.bronzewheel.frontdoor;

import io.vertx.ext.web.Router;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.bronzewheel.telemetry.RouterMetrics;

/** The routes for operators. */
final class OperatorRoutes {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final String PROMETHEUS_TEXT = "text/plain; version=0.0.4; charset=utf-8";

    private final BooleanSupplier ready;
    private final Supplier<String> status;
    private final RouterMetrics metrics;

    OperatorRoutes(BooleanSupplier ready, Supplier<String> status, RouterMetrics metrics) {
        this.ready = ready;
        this.status = status;
        this.metrics = metrics;
    }

    void addTo(Router router) {
        router.get("/health/live")
                .handler(c -> Responses.json(c.response(), OK, "{\"live\":true}"));
        router.get("/health/ready")
                .handler(
                        c -> {
                            boolean now = ready.getAsBoolean();
                            Responses.json(
                                    c.response(),
                                    now ? OK : UNAVAILABLE,
                                    "{\"ready\":" + now + "}");
                        });
        router.get("/metrics")
                .handler(
                        c ->
                                c.response()
                                        .putHeader("Content-Type", PROMETHEUS_TEXT)
                                        .end(metrics.scrape()));
        router.get("/v1/status").handler(c -> Responses.json(c.response(), OK, status.get()));
    }
}
