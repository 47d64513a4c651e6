package org.bronzewheel.upstream;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;

/** A factory of HTTP clients with the limits of {@link UpstreamSettings}. */
public final class HttpClients {
    private static final int KEEP_ALIVE_SECONDS = 10;

    private HttpClients() {}

    /**
     * Creates a client with connections of its own.
     *
     * @param vertx runs the client
     * @param settings limits
     * @return a client, to be closed by the caller
     */
    public static HttpClient create(Vertx vertx, UpstreamSettings settings) {
        HttpClientOptions options =
                new HttpClientOptions()
                        .setConnectTimeout(settings.connectTimeoutMillis())
                        .setKeepAliveTimeout(KEEP_ALIVE_SECONDS);
        PoolOptions pool = new PoolOptions().setHttp1MaxSize(settings.maxConnectionsPerUpstream());
        return vertx.createHttpClient(options, pool);
    }
}
