package org.bronzewheel.transport;

import io.netty.channel.Channel;
import org.bronzewheel.wire.PeerFrame;

/**
 * Operations on connections whose futures need no look: a failed write closes the connection, and
 * the handler of the connection learns of that.
 */
@SuppressWarnings("FutureReturnValueIgnored")
public final class NettyChannels {
    private NettyChannels() {}

    static void write(Channel channel, PeerFrame frame) {
        write(channel, frame, () -> {});
    }

    static void write(Channel channel, PeerFrame frame, Runnable done) {
        channel.writeAndFlush(frame)
                .addListener(
                        written -> {
                            done.run();
                            if (!written.isSuccess()) {
                                channel.close();
                            }
                        });
    }

    /**
     * Closes a connection.
     *
     * @param channel the connection
     */
    public static void close(Channel channel) {
        channel.close();
    }
}
