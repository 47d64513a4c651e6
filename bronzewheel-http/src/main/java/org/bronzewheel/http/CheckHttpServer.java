package org.bronzewheel.http;

import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.function.Supplier;

/**
 * Creates HTTP/1.1 servers for checks and metrics. They do without the rules of {@link
 * StrictHttpServer} on hosts and targets, which such clients need not keep; they receive no bodies.
 */
public final class CheckHttpServer {
    private static final int BACKLOG = 64;

    private CheckHttpServer() {}

    /**
     * Creates a server that does not listen yet.
     *
     * @param vertx the Vert.x instance that runs the server, with one event loop
     * @param timeouts supplies the timeouts of the connections
     * @param limits the limits of all connections together
     * @param handler responds to requests at once
     * @return the server
     */
    public static HttpServer create(
            Vertx vertx,
            Supplier<ConnectionTimeouts> timeouts,
            ConnectionLimits limits,
            Handler<HttpServerRequest> handler) {
        HttpServerOptions options =
                new HttpServerOptions()
                        .setAcceptBacklog(BACKLOG)
                        .setHttp2ClearTextEnabled(false)
                        .setPerMessageWebSocketCompressionSupported(false)
                        .setPerFrameWebSocketCompressionSupported(false);
        return vertx.createHttpServer(options)
                .connectionHandler(connection -> configure(connection, options, timeouts, limits))
                .requestHandler(request -> handle(request, handler));
    }

    private static void configure(
            HttpConnection connection,
            HttpServerOptions options,
            Supplier<ConnectionTimeouts> timeouts,
            ConnectionLimits limits) {
        ConnectionProgress progress = new ConnectionProgress();
        StrictRequestDecoder.install(connection, options);
        IdleConnectionHandler.install(connection, timeouts, progress);
        ConnectionGuard.install(connection, limits, progress);
    }

    private static void handle(HttpServerRequest request, Handler<HttpServerRequest> handler) {
        String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
        boolean hasBody =
                (length != null && !length.equals("0"))
                        || request.getHeader(HttpHeaders.TRANSFER_ENCODING) != null;
        HttpServerResponse response = request.response();
        if (hasBody) {
            response.putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE)
                    .endHandler(ended -> LingeringClose.close(request.connection()));
        }
        handler.handle(request);
    }
}
