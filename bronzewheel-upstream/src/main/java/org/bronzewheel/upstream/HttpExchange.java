package org.bronzewheel.upstream;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.Map;
import java.util.function.Supplier;
import org.bronzewheel.inventory.Upstream;

/** One HTTP exchange that tells a request that never left from one that may have arrived. */
final class HttpExchange {
    private final HttpClient client;
    private HttpClientRequest request;
    private boolean aborted;
    private boolean sent;

    HttpExchange(HttpClient client) {
        this.client = client;
    }

    /** A receiver of the one end of sending. */
    interface Receiver {
        /** The request did not leave this process. */
        void notSent(Throwable cause);

        /** The connection broke after the first byte may have left. */
        void broken(Throwable cause);

        /** The head of the response arrived. */
        void responded(HttpClientResponse response);
    }

    /**
     * Sends a request. The headers are asked for immediately before the bytes leave; they may
     * refuse by an exception.
     */
    void send(
            Upstream upstream,
            HttpMethod method,
            String path,
            Supplier<Map<String, String>> headers,
            Buffer body,
            Receiver receiver) {
        RequestOptions options =
                new RequestOptions()
                        .setMethod(method)
                        .setHost(upstream.host())
                        .setPort(upstream.port())
                        .setURI(path);
        client.request(options)
                .onFailure(receiver::notSent)
                .onSuccess(opened -> write(opened, headers, body, receiver));
    }

    /** Breaks the exchange off; returns whether the request may have arrived. */
    synchronized boolean abort() {
        aborted = true;
        if (request != null) {
            request.reset();
        }
        return sent;
    }

    private void write(
            HttpClientRequest opened,
            Supplier<Map<String, String>> headers,
            Buffer body,
            Receiver receiver) {
        try {
            headers.get().forEach(opened::putHeader);
        } catch (RuntimeException e) {
            opened.reset();
            receiver.notSent(e);
            return;
        }
        if (!markSent(opened)) {
            opened.reset();
            return;
        }
        opened.send(body).onSuccess(receiver::responded).onFailure(receiver::broken);
    }

    private synchronized boolean markSent(HttpClientRequest opened) {
        if (aborted) {
            return false;
        }
        request = opened;
        sent = true;
        return true;
    }
}
