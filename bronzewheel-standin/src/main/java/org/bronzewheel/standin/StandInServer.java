package org.bronzewheel.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.request.Outcome;
import org.bronzewheel.service.Service;

/** The HTTP server that each stand-in is. */
public abstract class StandInServer implements Service {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long START_TIMEOUT_MILLIS = 10_000;
    private static final String BODY = "body";

    static final ObjectMapper MAPPER = new ObjectMapper();
    static final int OK = 200;
    static final int BAD_REQUEST = 400;
    static final int NOT_FOUND = 404;
    static final int UNAVAILABLE = 503;

    private final Vertx vertx;
    private final String host;
    private final int wantedPort;
    private HttpServer server;

    StandInServer(Vertx vertx, String host, int port) {
        this.vertx = vertx;
        this.host = host;
        this.wantedPort = port;
    }

    /** Adds the routes of the stand-in. */
    abstract void addRoutes(Router router);

    /** {@inheritDoc} */
    @Override
    public synchronized void start() {
        Router router = Router.router(vertx);
        router.route().handler(StandInServer::readBody).failureHandler(StandInServer::fail);
        addRoutes(router);
        server = await(newServer().requestHandler(router).listen(wantedPort, host));
    }

    /** Reads the body whatever its media type; callers such as curl send JSON as a form. */
    private static void readBody(RoutingContext context) {
        context.request()
                .body()
                .onFailure(context::fail)
                .onSuccess(
                        body -> {
                            context.put(BODY, body);
                            context.next();
                        });
    }

    private HttpServer newServer() {
        HttpServerOptions options = new HttpServerOptions();
        options.setHandle100ContinueAutomatically(true);
        return vertx.createHttpServer(options);
    }

    /** {@inheritDoc} */
    @Override
    public synchronized void stop() {
        if (server != null) {
            await(server.close());
            server = null;
        }
    }

    /**
     * Returns where the stand-in listens.
     *
     * @return {@code host:port}
     */
    public synchronized String address() {
        return host + ":" + port();
    }

    /**
     * Returns the port on which the stand-in listens.
     *
     * @return 1 to 65535
     */
    public synchronized int port() {
        return server.actualPort();
    }

    Vertx vertx() {
        return vertx;
    }

    static void answer(RoutingContext context, int status, Object body) {
        context.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .end(json(body));
    }

    static void answerEmpty(RoutingContext context, int status) {
        context.response().setStatusCode(status).end();
    }

    static String json(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    static JsonNode body(RoutingContext context) throws JsonProcessingException {
        JsonNode parsed = MAPPER.readTree(context.<Buffer>get(BODY).toString());
        if (!parsed.isObject()) {
            throw new IllegalArgumentException("the body is no JSON object");
        }
        return parsed;
    }

    /** Returns what follows a prefix in the path, with percent-encoding undone. */
    static String pathAfter(RoutingContext context, String prefix) {
        String rest = context.request().path().substring(prefix.length());
        return URLDecoder.decode(rest.replace("+", "%2B"), StandardCharsets.UTF_8);
    }

    static long longParameter(RoutingContext context, String name, long fallback) {
        String text = context.request().getParam(name);
        return text == null ? fallback : Long.parseLong(text);
    }

    private static void fail(RoutingContext context) {
        Throwable cause = context.failure();
        boolean malformed =
                cause instanceof JsonProcessingException
                        || cause instanceof IllegalArgumentException;
        if (cause != null && !malformed) {
            logger.atWarning().withCause(cause).log("a stand-in failed");
        }
        if (context.response().ended()) {
            return;
        }
        int status = malformed ? BAD_REQUEST : Math.max(BAD_REQUEST, context.statusCode());
        context.response().setStatusCode(status).end();
    }

    private static <T> T await(Future<T> future) {
        try {
            return future.toCompletionStage()
                    .toCompletableFuture()
                    .get(START_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new BronzewheelException(
                    ErrorCode.INVALID_SETTING, Outcome.NOT_RUN, "a stand-in can't listen", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }
}
