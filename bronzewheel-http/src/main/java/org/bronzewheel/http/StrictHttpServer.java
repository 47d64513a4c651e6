package org.bronzewheel.http;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.bronzewheel.error.BronzewheelException;

/**
 * A maker of HTTP/1.1 servers that answer 400 to ambiguous framing and close, and that run nothing
 * of what follows on a connection after an answer that closes it.
 */
public final class StrictHttpServer {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int BAD_REQUEST = 400;
    private static final String CONNECTION = "Connection";
    private static final String CLOSE = "close";

    private final HttpServerOptions options;
    private final Handler<HttpServerRequest> handler;
    private final Map<HttpConnection, HttpServerResponse> lastAnswers = new ConcurrentHashMap<>();

    private StrictHttpServer(HttpServerOptions options, Handler<HttpServerRequest> handler) {
        this.options = options;
        this.handler = handler;
    }

    /**
     * Creates a server that does not listen yet.
     *
     * @param vertx runs the server
     * @param options its options; those for other protocols than HTTP/1.1 are switched off
     * @param handler takes well-framed requests
     * @return the server
     */
    public static HttpServer create(
            Vertx vertx, HttpServerOptions options, Handler<HttpServerRequest> handler) {
        // An upgrade would put the decoder into place only after the first bytes.
        options.setHttp2ClearTextEnabled(false)
                .setPerMessageWebSocketCompressionSupported(false)
                .setPerFrameWebSocketCompressionSupported(false);
        StrictHttpServer strict = new StrictHttpServer(options, handler);
        return vertx.createHttpServer(options)
                .connectionHandler(strict::open)
                .requestHandler(strict::take)
                .invalidRequestHandler(
                        request -> strict.refuse(request, "the request cannot be read"));
    }

    private void open(HttpConnection connection) {
        StrictRequestDecoder.install(connection, options);
        connection.closeHandler(closed -> lastAnswers.remove(connection));
    }

    private void take(HttpServerRequest request) {
        HttpServerResponse before = lastAnswers.put(request.connection(), request.response());
        if (before != null && CLOSE.equalsIgnoreCase(before.headers().get(CONNECTION))) {
            lastAnswers.put(request.connection(), before);
            if (before.ended()) {
                request.connection().close();
            }
            return;
        }
        try {
            RequestFraming.check(request);
        } catch (BronzewheelException e) {
            refuse(request, e.getMessage());
            return;
        }
        handler.handle(request);
    }

    private void refuse(HttpServerRequest request, String reason) {
        logger.atInfo().log("unreadable request refused: %s", reason);
        HttpServerResponse response = request.response();
        lastAnswers.put(request.connection(), response);
        response.setStatusCode(BAD_REQUEST)
                .putHeader(CONNECTION, CLOSE)
                .end(reason)
                .onComplete(done -> request.connection().close());
    }
}
