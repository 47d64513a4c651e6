package org.bronzewheel.overhead;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.Map;

/**
 * Where calls go.
 *
 * @param port the loopback port
 * @param path the path
 * @param headers headers of each call
 */
record CallTarget(int port, String path, Map<String, String> headers) {
    RequestOptions options() {
        RequestOptions options =
                new RequestOptions()
                        .setMethod(HttpMethod.POST)
                        .setHost("127.0.0.1")
                        .setPort(port)
                        .setURI(path);
        headers.forEach(options::putHeader);
        return options;
    }
}
