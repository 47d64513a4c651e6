package org.bronzewheel.http;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * A decoder that rejects requests with both a Content-Length and a Transfer-Encoding header. The
 * default decoder of Vert.x removes the Content-Length header, so that the ambiguity could not be
 * detected later.
 */
final class StrictRequestDecoder extends VertxHttpRequestDecoder {
    private StrictRequestDecoder(HttpServerOptions options) {
        super(options);
    }

    /** Replaces the default decoder of a connection; called before the first byte is read. */
    static void install(HttpConnection connection, HttpServerOptions options) {
        ChannelPipeline pipeline = ((ConnectionBase) connection).channel().pipeline();
        pipeline.replace(
                HttpRequestDecoder.class, "httpDecoder", new StrictRequestDecoder(options));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding are present");
    }
}
