package org.bronzewheel.http;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * A decoder that refuses requests with both a length and a transfer coding. The decoder that Vert.x
 * sets up drops the length, which leaves no trace of the ambiguity.
 */
final class StrictRequestDecoder extends VertxHttpRequestDecoder {
    private StrictRequestDecoder(HttpServerOptions options) {
        super(options);
    }

    /** Puts the decoder into the place of the usual one, before the first byte is read. */
    static void install(HttpConnection connection, HttpServerOptions options) {
        ChannelPipeline pipeline = ((ConnectionBase) connection).channel().pipeline();
        pipeline.replace(
                HttpRequestDecoder.class, "httpDecoder", new StrictRequestDecoder(options));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both a length and a transfer coding");
    }
}
