package org.bronzewheel.frontdoor;

import com.google.common.flogger.FluentLogger;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Scheduler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.Router;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.execution.DrainGate;
import org.bronzewheel.execution.RequestService;
import org.bronzewheel.http.ConnectionTimeouts;
import org.bronzewheel.http.StrictHttpServer;
import org.bronzewheel.relay.ConfigurationService;
import org.bronzewheel.service.Service;
import org.bronzewheel.telemetry.RouterMetrics;
import org.bronzewheel.telemetry.Tracing;

/** The HTTP server for callers and operators. */
public final class FrontDoor implements Service {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private static final int MAX_HEADER_BYTES = 16 << 10;
    private static final int MAX_REQUEST_LINE_BYTES = 4 << 10;
    private static final long IDLE_MILLIS = 120_000;
    private static final long HEAD_MILLIS = 10_000;
    private static final long SHUTDOWN_SECONDS = 5;

    private final Vertx vertx;
    private final String host;
    private final int port;
    private final Router router;
    private final DrainGate exchanges = new DrainGate();
    private HttpServer server;

    /**
     * Creates a server.
     *
     * @param vertx runs the server
     * @param host the IP number to listen on
     * @param port the port to listen on, 0 for any
     * @param requests the router's requests
     * @param configurations gives the limits of requests
     * @param ready whether the router reports ready
     * @param status the status of the router as JSON
     * @param metrics the metrics to show
     * @param tracing reads the callers' trace context
     * @param scheduler runs timers
     */
    public FrontDoor(
            Vertx vertx,
            String host,
            int port,
            RequestService requests,
            ConfigurationService configurations,
            BooleanSupplier ready,
            Supplier<String> status,
            RouterMetrics metrics,
            Tracing tracing,
            Scheduler scheduler) {
        this.vertx = vertx;
        this.host = host;
        this.port = port;
        this.router = Router.router(vertx);
        new CallerRoutes(requests, configurations, new RequestParser(tracing), exchanges, scheduler)
                .addTo(router);
        new OperatorRoutes(ready, status, metrics).addTo(router);
        router.route().failureHandler(context -> fail(requests, context));
    }

    private static void fail(RequestService requests, io.vertx.ext.web.RoutingContext context) {
        Throwable error = context.failure();
        if (error == null) {
            context.next();
            return;
        }
        logger.atWarning().withCause(error).log("a request to the front door failed");
        Responses.problem(context.response(), requests.nextId(), error);
    }

    @Override
    public void start() {
        HttpServerOptions options =
                new HttpServerOptions()
                        .setHost(host)
                        .setPort(port)
                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                        .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES);
        server =
                StrictHttpServer.create(
                        vertx,
                        options,
                        () -> new ConnectionTimeouts(IDLE_MILLIS, HEAD_MILLIS),
                        router);
        try {
            server.listen().toCompletionStage().toCompletableFuture().join();
        } catch (CompletionException e) {
            throw new BronzewheelException(
                    ErrorCode.INVALID_SETTING,
                    org.bronzewheel.request.Outcome.NOT_RUN,
                    "cannot listen on " + host + ":" + port,
                    e);
        }
    }

    /**
     * Returns the port that the server listens on.
     *
     * @return the port, known after the start
     */
    public int port() {
        return server.actualPort();
    }

    /**
     * Waits until no caller waits for an answer any more.
     *
     * @return completes once all exchanges have ended
     */
    public Completable drained() {
        return exchanges.close();
    }

    @Override
    public void stop() {
        if (server == null) {
            return;
        }
        server.shutdown(SHUTDOWN_SECONDS, TimeUnit.SECONDS)
                .toCompletionStage()
                .toCompletableFuture()
                .join();
    }
}
