package org.bronzewheel.http;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;

/** Keeps one connection inside the limits of all connections. */
final class ConnectionGuard {
    /**
     * The bytes of one connection that are read and handled before other connections are. Netty's
     * default of up to 1 MB became some 170,000 chunks or 13,000 requests.
     */
    private static final int MAX_READ_BYTES = 16 << 10;

    private static final int MIN_READ_BYTES = 1 << 10;
    private static final int FIRST_READ_BYTES = 4 << 10;

    private ConnectionGuard() {}

    /**
     * Adds the limits to a connection; called before the first byte is read, after the other
     * handlers were installed.
     */
    static void install(HttpConnection connection, ConnectionLimits limits) {
        Channel channel = ((ConnectionBase) connection).channel();
        channel.config()
                .setRecvByteBufAllocator(
                        new AdaptiveRecvByteBufAllocator(
                                        MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                                .maxMessagesPerRead(1));
        channel.pipeline().get(StrictRequestDecoder.class).limit(limits.turns());
    }
}
