package org.bronzewheel.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.request.Outcome;

/** A reader of JSON documents over HTTP, which waits for each. */
final class HttpReader {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long TIMEOUT_MILLIS = 10_000;

    private final Vertx vertx;

    HttpReader(Vertx vertx) {
        this.vertx = vertx;
    }

    /** Reads a document; an unchecked exception says what could not be read. */
    JsonNode get(String address, String path) {
        int colon = address.lastIndexOf(':');
        // Vert.x closes a client that nothing refers to; closing it here refers to it until then.
        HttpClient client = vertx.createHttpClient();
        try {
            Buffer body =
                    client.request(
                                    HttpMethod.GET,
                                    Integer.parseInt(address.substring(colon + 1)),
                                    address.substring(0, colon),
                                    path)
                            .compose(request -> request.send().compose(HttpClientResponse::body))
                            .toCompletionStage()
                            .toCompletableFuture()
                            .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            return MAPPER.readTree(body.getBytes());
        } catch (ExecutionException | TimeoutException e) {
            throw unreadable(address, path, e);
        } catch (IOException e) {
            throw unreadable(address, path, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw unreadable(address, path, e);
        } finally {
            client.close()
                    .onFailure(e -> logger.atWarning().withCause(e).log("a client did not close"));
        }
    }

    private static BronzewheelException unreadable(String address, String path, Exception cause) {
        return new BronzewheelException(
                ErrorCode.PLATFORM_UNAVAILABLE,
                Outcome.NOT_RUN,
                "can't read http://" + address + path + ": " + cause.getMessage(),
                cause);
    }
}
