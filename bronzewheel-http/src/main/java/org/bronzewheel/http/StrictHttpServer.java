package org.bronzewheel.http;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Handler;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.bronzewheel.error.BronzewheelException;

/**
 * Creates HTTP/1.1 servers that reject ambiguous framing with status 400 and close the connection.
 * Requests that are pipelined behind a response with {@code Connection: close} are not handled.
 */
public final class StrictHttpServer {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int BAD_REQUEST = 400;
    private static final String CONNECTION = "Connection";
    private static final String CLOSE = "close";

    private final HttpServerOptions options;
    private final Supplier<ConnectionTimeouts> timeouts;
    private final Handler<HttpServerRequest> handler;
    private final Optional<ConnectionLimits> limits;

    /**
     * The headers of the last response of each connection. The response itself holds its request,
     * whose memory is free once it has been answered.
     */
    private final Map<HttpConnection, MultiMap> lastHeaders = new ConcurrentHashMap<>();

    private StrictHttpServer(
            HttpServerOptions options,
            Supplier<ConnectionTimeouts> timeouts,
            Optional<ConnectionLimits> limits,
            Handler<HttpServerRequest> handler) {
        this.options = options;
        this.timeouts = timeouts;
        this.limits = limits;
        this.handler = handler;
    }

    /**
     * Creates a server that does not listen yet.
     *
     * @param vertx the Vert.x instance that runs the server
     * @param options the server options; protocols other than HTTP/1.1 are disabled in them, and
     *     their idle timeout, which would cut off requests in progress
     * @param timeouts supplies the timeouts of the connections, which are closed some time after
     *     them
     * @param handler the handler of requests with valid framing
     * @return the server
     */
    public static HttpServer create(
            Vertx vertx,
            HttpServerOptions options,
            Supplier<ConnectionTimeouts> timeouts,
            Handler<HttpServerRequest> handler) {
        return create(vertx, options, timeouts, Optional.empty(), handler);
    }

    /**
     * Creates a server that does not listen yet.
     *
     * @param vertx the Vert.x instance that runs the server, with one event loop
     * @param options the server options; protocols other than HTTP/1.1 are disabled in them, and
     *     their idle timeout, which would cut off requests in progress
     * @param timeouts supplies the timeouts of the connections, which are closed some time after
     *     them
     * @param limits the limits of all connections together
     * @param handler the handler of requests with valid framing
     * @return the server
     */
    public static HttpServer create(
            Vertx vertx,
            HttpServerOptions options,
            Supplier<ConnectionTimeouts> timeouts,
            ConnectionLimits limits,
            Handler<HttpServerRequest> handler) {
        return create(vertx, options, timeouts, Optional.of(limits), handler);
    }

    private static HttpServer create(
            Vertx vertx,
            HttpServerOptions options,
            Supplier<ConnectionTimeouts> timeouts,
            Optional<ConnectionLimits> limits,
            Handler<HttpServerRequest> handler) {
        // With HTTP/2 upgrades enabled, the decoder would be installed only after the first bytes.
        options.setHttp2ClearTextEnabled(false)
                .setPerMessageWebSocketCompressionSupported(false)
                .setPerFrameWebSocketCompressionSupported(false)
                .setIdleTimeout(0);
        StrictHttpServer strict = new StrictHttpServer(options, timeouts, limits, handler);
        return vertx.createHttpServer(options)
                .connectionHandler(strict::configureConnection)
                .requestHandler(strict::handleRequest)
                .invalidRequestHandler(
                        request -> strict.reject(request, "the request cannot be read"));
    }

    private void configureConnection(HttpConnection connection) {
        ConnectionProgress progress = new ConnectionProgress();
        StrictRequestDecoder.install(connection, options);
        IdleConnectionHandler.install(connection, timeouts, progress);
        connection.closeHandler(closed -> lastHeaders.remove(connection));
        limits.ifPresent(all -> ConnectionGuard.install(connection, all, progress));
    }

    private void handleRequest(HttpServerRequest request) {
        MultiMap previous = lastHeaders.put(request.connection(), request.response().headers());
        if (previous != null && CLOSE.equalsIgnoreCase(previous.get(CONNECTION))) {
            lastHeaders.put(request.connection(), previous);
            LingeringClose.close(request.connection());
            return;
        }
        try {
            RequestFraming.check(request);
        } catch (BronzewheelException e) {
            reject(request, e.getMessage());
            return;
        }
        handler.handle(request);
    }

    private void reject(HttpServerRequest request, String reason) {
        logger.atInfo().log("rejected malformed request: %s", reason);
        HttpServerResponse response = request.response();
        lastHeaders.put(request.connection(), response.headers());
        response.setStatusCode(BAD_REQUEST)
                .putHeader(CONNECTION, CLOSE)
                .end(reason)
                .onComplete(done -> LingeringClose.close(request.connection()));
    }
}
